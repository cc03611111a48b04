/** A stand-in replica that speaks the platform's HTTP interface and reports each request it receives. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Arrival } from "./types.js";

/** Faults of a replica's responses. */
export enum ReplicaFaultMode {
  Healthy = "sound",
  /** Runs requests and closes their connections without a full response. */
  DropsResponses = "losesAnswers",
  /** Sends half of a response and closes the connection. */
  CorruptsResponses = "garbles",
}

/** Number of events in a stream. */
export const eventCountPerStream = 40;

/** Identity of a replica, and its callback. */
export interface SoakReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Called for each request that arrives. */
  readonly onArrival: (arrival: Arrival) => void;
}

/** Header that states how large the answer has to be. */
export const answerBytesHeader = "soak-answer-bytes";

const slotCount = 48;
const largeAnswerDelayMs = 300;
const firstEventDelayMs = 120;
const eventIntervalMs = 25;
const responseDelayMs = 30;
const promptTokenCount = 1000;

/** Returns the text of a stream event. */
export const eventText = (requestId: string, id: number): string =>
  `id: ${String(id)}\ndata: ${requestId} ${String(id)}\n\n`;

/** Returns the body of a response that is not streamed. */
export const bodyText = (requestId: string): string =>
  JSON.stringify({ requestId, rest: "x".repeat(700) });

const sleepUnlessClosed = (ms: number, res: ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      res.removeListener("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    res.once("close", finish);
  });

/** Stand-in replica that listens on a free port of the loopback address. */
export class SoakReplica {
  faultMode = ReplicaFaultMode.Healthy;
  readonly startedAt = Date.now();
  private readonly eventCounts = new Map<string, number>();
  /** Request ids of KV cache copies that other engines keep here. */
  private readonly copies = new Set<string>();
  private readonly streams = new Set<ServerResponse>();
  /** Streams whose bytes are held back. */
  private readonly silentStreams = new Set<ServerResponse>();
  private readonly server = createServer((req, res) => {
    this.dispatchRequest(req, res);
  });

  private constructor(
    private readonly options: SoakReplicaOptions,
    /** Finds the engine at an address, to store a KV cache copy there. */
    private readonly engineAt: (address: string) => SoakReplica | undefined,
  ) {}

  static async create(
    options: SoakReplicaOptions,
    engineAt: (address: string) => SoakReplica | undefined,
  ): Promise<SoakReplica> {
    const replica = new SoakReplica(options, engineAt);
    await new Promise<void>((resolve) => {
      replica.server.listen(0, "127.0.0.1", resolve);
    });
    return replica;
  }

  get id(): string {
    return this.options.id;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Stores a KV cache copy of a run. */
  keepCopy(requestId: string): void {
    this.copies.add(requestId);
  }

  /** Holds the bytes of the latest stream back for a time; its run and the reports go on. */
  async silenceStream(durationMs: number): Promise<void> {
    const latest = [...this.streams].at(-1);
    if (latest === undefined) return;
    this.silentStreams.add(latest);
    await sleep(durationMs);
    this.silentStreams.delete(latest);
  }

  /** Closes the server and all its connections at once. */
  crash(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private dispatchRequest(req: IncomingMessage, res: ServerResponse): void {
    res.on("error", () => undefined); // a caller that left is detected by the close event
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    if (path === "/-/report") this.report(res);
    else if (path === "/-/kv-list") this.answerJson(res, { held: [] });
    else if (path === "/-/kv-move") this.handleCopyRequest(req, res);
    else if (path.startsWith("/-/")) this.answerJson(res, {});
    else this.handle(req, res);
  }

  private answerJson(res: ServerResponse, body: unknown, status = 200): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
  }

  private report(res: ServerResponse): void {
    const runs = [...this.eventCounts].map(([id, eventCount]) => [
      id,
      promptTokenCount,
      eventCount,
      0,
    ]);
    this.answerJson(res, {
      born: this.startedAt,
      queued_requests: 0,
      active_requests: runs.length,
      kv_used_tokens: runs.length * promptTokenCount,
      kv_total_tokens: slotCount * promptTokenCount,
      runs,
    });
  }

  private handleCopyRequest(req: IncomingMessage, res: ServerResponse): void {
    let text = "";
    req.on("data", (chunk: Buffer) => (text += chunk.toString("utf8")));
    req.on("end", () => {
      const { id, to } = JSON.parse(text) as { id: string; to: string };
      const copyHolder = this.engineAt(to);
      const eventCount = this.eventCounts.get(id);
      if (copyHolder === undefined || eventCount === undefined) {
        this.answerJson(res, {}, 404);
        return;
      }
      copyHolder.keepCopy(id);
      this.answerJson(res, { handle: id, created_at: eventCount });
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const header = (name: string): string => {
      const value = req.headers[name];
      return typeof value === "string" ? value : "";
    };
    const requestId = header("attempt-id");
    const source = header("kv-from");
    const isAddressedHere = header("expect-replica") === this.options.id;
    const hasCopy = source === "" || this.copies.delete(requestId);
    const hasRun =
      isAddressedHere && hasCopy && this.eventCounts.size < slotCount;
    this.options.onArrival({
      requestId,
      replica: this.options.id,
      service: this.options.service,
      at: Date.now(),
      hasRun,
      isContinued: hasRun && source !== "",
    });
    req.resume();
    if (!hasRun) {
      res.setHeader("not-executed", "1");
      this.answerJson(res, {}, isAddressedHere ? 503 : 421);
      return;
    }
    this.engineAt(header("kv-backup"))?.keepCopy(requestId);
    res.setHeader("attempt-id", requestId);
    res.setHeader("response-seal", `${this.options.id}.${requestId}`);
    const isStream = req.url?.startsWith("/stream/") === true;
    const from = Number(header("last-event-id") || 0);
    const isResumedFromCopy = source !== "";
    const isLarge = req.url?.startsWith("/large/") === true;
    if (isLarge)
      void this.answerLarge(res, requestId, Number(header(answerBytesHeader)));
    else
      void (isStream
        ? this.stream(res, requestId, from, isResumedFromCopy)
        : this.answer(res, requestId));
  }

  /** Answers slowly, with a given number of bytes or else with the usual body. */
  private async answerLarge(
    res: ServerResponse,
    requestId: string,
    bytes: number,
  ): Promise<void> {
    await sleepUnlessClosed(largeAnswerDelayMs, res);
    if (res.destroyed) return;
    const body =
      bytes > 0 ? Buffer.alloc(bytes, "x") : Buffer.from(bodyText(requestId));
    res.writeHead(200, { "content-length": body.length });
    res.end(body);
  }

  private async answer(res: ServerResponse, requestId: string): Promise<void> {
    await sleepUnlessClosed(responseDelayMs, res);
    if (res.destroyed) return;
    const body = bodyText(requestId);
    if (this.faultMode === ReplicaFaultMode.DropsResponses) {
      res.destroy();
      return;
    }
    const isTruncated = this.faultMode === ReplicaFaultMode.CorruptsResponses;
    res.writeHead(200, { "content-length": body.length });
    res.write(isTruncated ? body.slice(0, body.length / 2) : body);
    if (isTruncated) res.destroy();
    else res.end();
  }

  private async stream(
    res: ServerResponse,
    requestId: string,
    from: number,
    isResumedFromCopy: boolean,
  ): Promise<void> {
    this.eventCounts.set(requestId, from);
    this.streams.add(res);
    if (!isResumedFromCopy) await sleepUnlessClosed(firstEventDelayMs, res);
    if (!res.destroyed) {
      res.writeHead(200, { "content-type": "text/event-stream" });
      await this.writeEvents(res, requestId, from);
    }
    this.eventCounts.delete(requestId);
    this.streams.delete(res);
    res.end();
  }

  private async writeEvents(
    res: ServerResponse,
    requestId: string,
    from: number,
  ): Promise<void> {
    let unsent = "";
    for (let id = from + 1; id <= eventCountPerStream; id += 1) {
      await sleepUnlessClosed(eventIntervalMs, res);
      if (res.destroyed) return;
      const event = eventText(requestId, id);
      const isTruncated =
        this.faultMode !== ReplicaFaultMode.Healthy &&
        id > eventCountPerStream / 2;
      unsent += isTruncated ? event.slice(0, event.length / 2) : event;
      this.eventCounts.set(requestId, id);
      if (this.silentStreams.has(res) && !isTruncated) continue;
      res.write(unsent);
      unsent = "";
      if (!isTruncated) continue;
      res.destroy();
      return;
    }
    while (this.silentStreams.has(res) && !res.destroyed)
      await sleepUnlessClosed(eventIntervalMs, res);
    if (unsent !== "" && !res.destroyed) res.write(unsent);
  }
}
