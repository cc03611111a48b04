/** A replica of the platform's wire shape that keeps what it was sent. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Arrival } from "./types.js";

/** How a replica treats its answers. */
export enum ReplicaMood {
  Sound = "sound",
  /** Runs requests and resets their connections. */
  LosesAnswers = "losesAnswers",
  /** Cuts answers short, or sends bytes after them. */
  Garbles = "garbles",
}

/** Events of one stream. */
export const eventsPerStream = 40;

/** What identifies a replica. */
export interface SoakReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Told of each request that arrives. */
  readonly onArrival: (arrival: Arrival) => void;
}

const slots = 48;
const firstEventMs = 120;
const eventMs = 25;
const workMs = 30;
const promptTokens = 1000;

/** The event of a stream, as its replica makes it. */
export const eventText = (requestId: string, id: number): string =>
  `id: ${String(id)}\ndata: ${requestId} ${String(id)}\n\n`;

/** The body of a plain answer. */
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

/** Runs on a free port of the loopback address. */
export class SoakReplica {
  mood = ReplicaMood.Sound;
  readonly startedAt = Date.now();
  private readonly eventsMade = new Map<string, number>();
  /** Copies that other engines keep here, by request. */
  private readonly copies = new Set<string>();
  private readonly server = createServer((req, res) => {
    this.serve(req, res);
  });

  private constructor(
    private readonly options: SoakReplicaOptions,
    /** Finds the engine at an address, to keep a copy there. */
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

  /** Keeps a copy of a run. */
  keepCopy(requestId: string): void {
    this.copies.add(requestId);
  }

  /** Ends at once, with every connection. */
  crash(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    res.on("error", () => undefined); // a caller that left is seen by its close
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    if (path === "/-/report") this.report(res);
    else if (path === "/-/kv-list") this.answerJson(res, { held: [] });
    else if (path === "/-/kv-move") this.copyRun(req, res);
    else if (path.startsWith("/-/")) this.answerJson(res, {});
    else this.handle(req, res);
  }

  private answerJson(res: ServerResponse, body: unknown, status = 200): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
  }

  private report(res: ServerResponse): void {
    const runs = [...this.eventsMade].map(([id, made]) => [
      id,
      promptTokens,
      made,
      0,
    ]);
    this.answerJson(res, {
      born: this.startedAt,
      queued_requests: 0,
      active_requests: runs.length,
      kv_used_tokens: runs.length * promptTokens,
      kv_total_tokens: slots * promptTokens,
      runs,
    });
  }

  private copyRun(req: IncomingMessage, res: ServerResponse): void {
    let text = "";
    req.on("data", (chunk: Buffer) => (text += chunk.toString("utf8")));
    req.on("end", () => {
      const { id, to } = JSON.parse(text) as { id: string; to: string };
      const holder = this.engineAt(to);
      const made = this.eventsMade.get(id);
      if (holder === undefined || made === undefined) {
        this.answerJson(res, {}, 404);
        return;
      }
      holder.keepCopy(id);
      this.answerJson(res, { handle: id, created_at: made });
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const header = (name: string): string => {
      const value = req.headers[name];
      return typeof value === "string" ? value : "";
    };
    const requestId = header("attempt-id");
    const source = header("kv-from");
    const isMeant = header("expect-replica") === this.options.id;
    const hasCopy = source === "" || this.copies.delete(requestId);
    const hasRun = isMeant && hasCopy && this.eventsMade.size < slots;
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
      this.answerJson(res, {}, isMeant ? 503 : 421);
      return;
    }
    this.engineAt(header("kv-backup"))?.keepCopy(requestId);
    res.setHeader("attempt-id", requestId);
    res.setHeader("response-seal", `${this.options.id}.${requestId}`);
    const isStream = req.url?.startsWith("/stream/") === true;
    const from = Number(header("last-event-id") || 0);
    const isQuick = source !== "";
    void (isStream
      ? this.stream(res, requestId, from, isQuick)
      : this.answer(res, requestId));
  }

  private async answer(res: ServerResponse, requestId: string): Promise<void> {
    await sleepUnlessClosed(workMs, res);
    if (res.destroyed) return;
    const body = bodyText(requestId);
    if (this.mood === ReplicaMood.LosesAnswers) {
      res.destroy();
      return;
    }
    const isCut = this.mood === ReplicaMood.Garbles;
    res.writeHead(200, { "content-length": body.length });
    res.write(isCut ? body.slice(0, body.length / 2) : body);
    if (isCut) res.destroy();
    else res.end();
  }

  private async stream(
    res: ServerResponse,
    requestId: string,
    from: number,
    isQuick: boolean,
  ): Promise<void> {
    this.eventsMade.set(requestId, from);
    if (!isQuick) await sleepUnlessClosed(firstEventMs, res);
    if (!res.destroyed) {
      res.writeHead(200, { "content-type": "text/event-stream" });
      await this.writeEvents(res, requestId, from);
    }
    this.eventsMade.delete(requestId);
    res.end();
  }

  private async writeEvents(
    res: ServerResponse,
    requestId: string,
    from: number,
  ): Promise<void> {
    for (let id = from + 1; id <= eventsPerStream; id += 1) {
      await sleepUnlessClosed(eventMs, res);
      if (res.destroyed) return;
      const event = eventText(requestId, id);
      const isCut = this.mood !== ReplicaMood.Sound && id > eventsPerStream / 2;
      res.write(isCut ? event.slice(0, event.length / 2) : event);
      this.eventsMade.set(requestId, id);
      if (!isCut) continue;
      res.destroy();
      return;
    }
  }
}
