/** A run of a stream at a stand-in replica: makes its events until something ends it. */

import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { RunEnd, type RecordedRun } from "./types.js";

const firstEventDelayMs = 120;

/** What a run does, and where its events go. */
export interface StreamRunOptions {
  readonly record: RecordedRun;
  readonly res: ServerResponse;
  /** Id of the last event that the caller has. */
  readonly lastEventId: number;
  readonly eventCount: number;
  readonly eventIntervalMs: number;
  /** Whether it need not read the prompt again. */
  readonly hasCopy: boolean;
  /** Whether it works on when its connection closes. */
  readonly outlivesConnection: boolean;
  /** Whether the replica sends only half of an event now, and breaks off. */
  readonly isTruncating: () => boolean;
}

/** Returns the text of a stream event. */
export const eventText = (requestId: string, id: number): string =>
  `id: ${String(id)}\ndata: ${requestId} ${String(id)}\n\n`;

/** A run that makes events at a constant rate. */
export class StreamRun {
  /** Whether its bytes are held back. */
  isSilent = false;
  /** Id of the last event that it made. */
  lastEventId: number;
  private unsent = "";
  private readonly ended = new AbortController();

  private constructor(private readonly options: StreamRunOptions) {
    this.lastEventId = options.lastEventId;
  }

  static create(options: StreamRunOptions): StreamRun {
    const run = new StreamRun(options);
    if (!options.outlivesConnection)
      options.res.once("close", () => {
        run.end(RunEnd.Closed);
      });
    return run;
  }

  get requestId(): string {
    return this.options.record.requestId;
  }

  get isAtWork(): boolean {
    return this.options.record.end === undefined;
  }

  /** Ends it, unless it has ended; nothing is made or sent afterwards. */
  end(end: RunEnd): void {
    const { record, res } = this.options;
    if (record.end !== undefined) return;
    record.end = end;
    record.endedAt = Date.now();
    this.ended.abort();
    if (end === RunEnd.Whole) res.end();
    else res.destroy();
  }

  /** Resolves when it has ended. */
  async run(): Promise<void> {
    const { res, hasCopy, eventCount, eventIntervalMs } = this.options;
    if (!hasCopy) await this.waitAtWork(firstEventDelayMs);
    if (this.isAtWork && !res.destroyed)
      res.writeHead(200, { "content-type": "text/event-stream" });
    while (this.isAtWork && this.lastEventId < eventCount) {
      if (await this.waitAtWork(eventIntervalMs)) this.makeEvent();
    }
    while (this.isSilent && (await this.waitAtWork(eventIntervalMs)));
    if (this.isAtWork) this.send();
    this.end(RunEnd.Whole);
  }

  private makeEvent(): void {
    const { record, eventCount, isTruncating } = this.options;
    this.lastEventId += 1;
    record.workedUntil = Date.now();
    const event = eventText(record.requestId, this.lastEventId);
    const isTruncated = isTruncating() && this.lastEventId > eventCount / 2;
    this.unsent += isTruncated ? event.slice(0, event.length / 2) : event;
    if (!this.isSilent || isTruncated) this.send();
    if (isTruncated) this.end(RunEnd.BrokenOff);
  }

  private send(): void {
    const { res } = this.options;
    if (this.unsent !== "" && !res.destroyed) res.write(this.unsent);
    this.unsent = "";
  }

  /** Waits until a time has passed or the run has ended; returns whether it is at work. */
  private async waitAtWork(ms: number): Promise<boolean> {
    const { signal } = this.ended;
    await sleep(ms, undefined, { signal }).catch(() => undefined);
    return this.isAtWork;
  }
}
