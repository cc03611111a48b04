/** A stand-in replica that speaks the platform's HTTP interface and reports each request it receives. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { KvCopies, type KvCopy } from "./kvCopies.js";
import { StreamRun, type StreamRunOptions } from "./streamRun.js";
import { RunEnd, type Arrival, type RecordedRun } from "./types.js";

/** A call for a copy of a run's KV cache. */
interface CopyQuestion {
  readonly id: string;
  /** Address of the replica that has to keep the copy. */
  readonly to: string;
  /** Whether the run has to stop first. */
  readonly last?: boolean;
}

/** A run in a report: its request, tokens, events made and priority. */
type ReportedRun = readonly [string, number, number, number];

/** Faults of a replica's responses. */
export enum ReplicaFaultMode {
  Healthy = "sound",
  /** Runs requests and closes their connections without a full response. */
  DropsResponses = "losesAnswers",
  /** Sends half of a response and closes the connection. */
  CorruptsResponses = "garbles",
}

/** Number of events in a stream whose caller states none. */
export const eventCountPerStream = 40;

/** Identity of a replica, and its callbacks. */
export interface SoakReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Index of its endpoint. */
  readonly endpoint: number;
  /** Interval between the events of its streams. */
  readonly eventIntervalMs: number;
  /** Whether its runs work on when their connections close. */
  readonly keepsRuns: boolean;
  /** Called for each request that arrives. */
  readonly onArrival: (arrival: Arrival) => void;
  /** Called for each run of a stream that begins. */
  readonly onRun: (run: RecordedRun) => void;
}

/** The other replicas, as a replica knows them. */
export interface ReplicaNeighbours {
  readonly replicaAt: (address: string) => SoakReplica | undefined;
  readonly addressOf: (replica: SoakReplica) => string;
}

/** Header that states how large the answer has to be. */
export const answerBytesHeader = "soak-answer-bytes";
/** Header that states how many events the stream has to have. */
export const eventCountHeader = "soak-event-count";

const slotCount = 48;
const largeAnswerDelayMs = 300;
const responseDelayMs = 30;
const copyDelayMs = 60;
const copyPathPrefix = "/-/kv-handle/";
/** Number of tokens of each stream's prompt. */
export const promptTokenCount = 1000;
const reportIntervalMs = 200; // reports are one to two of these old

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
  readonly copies = new KvCopies();
  private readonly runs = new Set<StreamRun>();
  /** Request ids of the runs that are being copied. */
  private readonly copying = new Set<string>();
  private lastHandle = 0;
  private reportedRuns: readonly ReportedRun[] = [];
  private nextReportedRuns: readonly ReportedRun[] = [];
  private readonly reporting = setInterval(() => {
    this.prepareReport();
  }, reportIntervalMs);
  private readonly server = createServer((req, res) => {
    this.dispatchRequest(req, res);
  });

  private constructor(
    private readonly options: SoakReplicaOptions,
    private readonly neighbours: ReplicaNeighbours,
  ) {}

  static async create(
    options: SoakReplicaOptions,
    neighbours: ReplicaNeighbours,
  ): Promise<SoakReplica> {
    const replica = new SoakReplica(options, neighbours);
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

  /** Whether it can take a copy of a run's KV cache. */
  get hasRoom(): boolean {
    return this.server.listening && this.runs.size < slotCount;
  }

  /** Holds the bytes of the latest stream back for a time; its run and the reports go on. */
  async silenceStream(durationMs: number): Promise<void> {
    const latest = [...this.runs].at(-1);
    if (latest === undefined) return;
    latest.isSilent = true;
    await sleep(durationMs);
    latest.isSilent = false;
  }

  /** Ends its runs, and closes the server and all its connections at once. */
  crash(): void {
    for (const run of this.runs) run.end(RunEnd.Crashed);
    clearInterval(this.reporting);
    this.server.closeAllConnections();
    this.server.close();
  }

  private dispatchRequest(req: IncomingMessage, res: ServerResponse): void {
    res.on("error", () => undefined); // a caller that left is detected by the close event
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    if (path === "/-/report") this.report(res);
    else if (path === "/-/kv-list") this.answerJson(res, { held: [] });
    else if (path === "/-/kv-move") void this.copyRun(req, res);
    else if (path.startsWith(copyPathPrefix)) {
      this.copies.free(path.slice(copyPathPrefix.length), this.options.id);
      this.answerJson(res, {});
    } else if (path.startsWith("/-/")) this.answerJson(res, {});
    else this.handle(req, res);
  }

  private answerJson(res: ServerResponse, body: unknown, status = 200): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
  }

  private report(res: ServerResponse): void {
    const runs = this.reportedRuns;
    this.answerJson(res, {
      born: this.startedAt,
      queued_requests: 0,
      active_requests: runs.length,
      kv_used_tokens: runs.length * promptTokenCount,
      kv_total_tokens: slotCount * promptTokenCount,
      runs,
    });
  }

  private prepareReport(): void {
    this.reportedRuns = this.nextReportedRuns;
    this.nextReportedRuns = [...this.runs].map((run) => [
      run.requestId,
      promptTokenCount,
      run.lastEventId,
      0,
    ]);
  }

  /** Copies a run's KV cache to another replica; where the caller asks for it, the run is stopped first. */
  private async copyRun(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await text(req).catch(() => undefined);
    if (body === undefined) return; // the caller left
    const question = JSON.parse(body) as CopyQuestion;
    const { id: requestId, to, last: isLast = false } = question;
    const run = [...this.runs].findLast(
      (one) => one.requestId === requestId && one.isAtWork,
    );
    if (this.copying.has(requestId)) {
      this.answerJson(res, {}, 409);
      return;
    }
    if (run === undefined) {
      this.answerJson(res, {}, 404);
      return;
    }
    const copy = this.nameCopy(requestId);
    const { handle } = copy;
    if (isLast) {
      run.end(RunEnd.Stopped);
      this.copies.keep(copy);
    }
    this.copying.add(requestId);
    const answer = { handle, created_at: run.lastEventId };
    await sleep(copyDelayMs);
    this.copying.delete(requestId);
    const holder = this.neighbours.replicaAt(to);
    if (holder === undefined || holder === this || !holder.hasRoom) {
      this.answerJson(res, isLast ? { handle } : {}, 503);
      return;
    }
    holder.copies.keep(copy);
    this.answerJson(res, answer);
  }

  private nameCopy(requestId: string): KvCopy {
    this.lastHandle += 1;
    const handle = `${this.options.id}-${String(this.lastHandle)}`;
    const name = `${this.neighbours.addressOf(this)}/${handle}`;
    return { name, handle, requestId, source: this.id, isSpent: false };
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const header = (name: string): string => {
      const value = req.headers[name];
      return typeof value === "string" ? value : "";
    };
    const requestId = header("attempt-id");
    const source = header("kv-from");
    const isAddressedHere = header("expect-replica") === this.options.id;
    const hasRun =
      isAddressedHere &&
      this.runs.size < slotCount &&
      (source === "" || this.copies.take(source, requestId));
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
    res.setHeader("attempt-id", requestId);
    res.setHeader("response-seal", `${this.options.id}.${requestId}`);
    const isStream = req.url?.startsWith("/stream/") === true;
    const isLarge = req.url?.startsWith("/large/") === true;
    if (isLarge)
      void this.answerLarge(res, requestId, Number(header(answerBytesHeader)));
    else if (!isStream) void this.answer(res, requestId);
    else
      void this.stream(header("kv-backup"), {
        record: this.recordRun(requestId),
        res,
        lastEventId: Number(header("last-event-id")),
        eventCount: Number(header(eventCountHeader)) || eventCountPerStream,
        eventIntervalMs: this.options.eventIntervalMs,
        hasCopy: source !== "",
        outlivesConnection: this.options.keepsRuns,
        isTruncating: () => this.faultMode !== ReplicaFaultMode.Healthy,
      });
  }

  private recordRun(requestId: string): RecordedRun {
    const { id, endpoint } = this.options;
    const now = Date.now();
    const run: RecordedRun = {
      requestId,
      replica: id,
      endpoint,
      startedAt: now,
      workedUntil: now,
      end: undefined,
      endedAt: undefined,
    };
    this.options.onRun(run);
    return run;
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

  /** Runs a stream; another replica keeps a copy of its KV cache until it has ended whole. */
  private async stream(
    copyHolder: string,
    options: StreamRunOptions,
  ): Promise<void> {
    const { record } = options;
    const { requestId } = record;
    const copy: KvCopy = {
      name: `${copyHolder}/${requestId}`,
      handle: requestId,
      requestId,
      source: this.options.id,
      isSpent: false,
    };
    this.neighbours.replicaAt(copyHolder)?.copies.keep(copy);
    const run = StreamRun.create(options);
    this.runs.add(run);
    await run.run();
    this.runs.delete(run);
    copy.isSpent ||= record.end === RunEnd.Whole;
  }
}
