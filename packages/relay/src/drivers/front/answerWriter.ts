/** Writes the answers of replicas to callers, and to routers that handed a request on. */

import type { ServerResponse } from "node:http";
import { now } from "@cardamomglade/common";
import { isBodiless } from "../../decisions/answerEnds/isBodiless.js";
import type { RelayCommand } from "../../decisions/commands.js";
import {
  BodyFraming,
  type BufferedResponse,
  type ResponseHead,
} from "../../decisions/types.js";
import { Counter, Latency, type RelayMetrics } from "../../metrics.js";
import type { BrokenResponses } from "../brokenResponses.js";
import { forwardableHeaders } from "../connectionHeaders.js";
import {
  encodeAnswerOrigin,
  handoverHeaders,
} from "../handover/handoverHeaders.js";
import { memoryBudget } from "../memory/memoryBudget.js";
import { UnreadEvents } from "../memory/unreadEvents.js";
import type { OpenConnections } from "../openConnections.js";
import { whenItsTurn } from "../whenItsTurn.js";
import { writeBody } from "../writeBody.js";
import type { PendingResponse, PendingResponses } from "./pendingResponses.js";

type CommandOf<Type> = Extract<RelayCommand, { readonly type: Type }>;

/** Options of the writer of one server. */
export interface AnswerWriterOptions {
  readonly isFromRouters: boolean;
  readonly metrics: RelayMetrics;
  readonly connections: OpenConnections;
  readonly broken: BrokenResponses;
  readonly pending: PendingResponses;
  /** Whether a response closes its connection. */
  readonly closesAfter: (res: ServerResponse) => boolean;
}

const maxUnreadBytes = 4 * 1024 * 1024; // buffered bytes of one response that its caller does not read
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

/** Writes the answers of one server. */
export class AnswerWriter {
  private constructor(private readonly options: AnswerWriterOptions) {}

  static create(options: AnswerWriterOptions): AnswerWriter {
    return new AnswerWriter(options);
  }

  /** Writes a whole response. */
  deliver({ key, answer }: CommandOf<"deliverResponse">): void {
    const { metrics, pending, broken } = this.options;
    const found = pending.take(key);
    if (found === undefined) return;
    const { res, memory, arrivedAt } = found;
    const { body } = answer;
    metrics.count(Counter.Answers);
    metrics.observe(Latency.Answer, now() - arrivedAt);
    this.writeHeadOf(res, answer);
    memory.answer(body.length, (why) => {
      broken.breakOff(res, `the caller does not read its answer, and ${why}`);
    });
    whenItsTurn(res, () => {
      memory.holding.expectProgress();
    });
    writeBody(res, body, (bytes) => {
      memory.holding.move(bytes);
    });
  }

  /** Writes the head of a stream. */
  startStream({ key, head }: CommandOf<"startStream">): void {
    const found = this.options.pending.find(key);
    if (found === undefined) return;
    this.writeHead(found.res, head);
    found.res.flushHeaders();
  }

  /** Writes events of a stream. */
  deliverEvents({ key, events }: CommandOf<"deliverEvents">): void {
    const { metrics, pending, broken } = this.options;
    const found = pending.find(key);
    if (found === undefined) return;
    const { res, arrivedAt } = found;
    metrics.count(Counter.Events, events.length);
    if (found.events === undefined)
      metrics.observe(Latency.FirstEvent, now() - arrivedAt);
    const unread = (found.events ??= this.openEvents(found));
    for (const { bytes } of events) unread.write(bytes);
    unread.update();
    if (res.writableLength > maxUnreadBytes)
      broken.breakOff(res, "the caller does not read its events");
  }

  /** Ends a stream that is whole. */
  finishStream(key: string): void {
    const { metrics, pending } = this.options;
    const found = pending.take(key);
    if (found === undefined) return;
    metrics.count(Counter.Answers);
    found.res.end();
  }

  /** Breaks a stream off. */
  abortStream(key: string): void {
    const { metrics, pending, broken } = this.options;
    const found = pending.take(key);
    if (found === undefined) return;
    metrics.count(Counter.StreamsAborted);
    broken.breakOff(found.res, "the stream was ended");
  }

  private openEvents({ res }: PendingResponse): UnreadEvents {
    return UnreadEvents.create(memoryBudget, res, (why) => {
      this.options.broken.breakOff(
        res,
        `the caller does not read its events, and ${why}`,
      );
    });
  }

  private writeHeadOf(
    res: ServerResponse,
    { head, body }: BufferedResponse,
  ): void {
    const { isFromRouters, connections } = this.options;
    const hasBody = !isBodiless(res.req.method ?? "", head.status);
    // Another router gets the length, and the framing in a header of its own.
    const isFramed = isFromRouters || head.framing !== BodyFraming.Connection;
    if (hasBody && !isFramed) connections.endWith(res);
    const isSized = hasBody && isFramed;
    this.writeHead(res, head, isSized ? body.length : undefined);
  }

  private writeHead(
    res: ServerResponse,
    head: ResponseHead,
    length?: number,
  ): void {
    const { isFromRouters, connections, closesAfter } = this.options;
    const headers = forwardableHeaders(head.headers, framingHeaders);
    if (length !== undefined) headers.push("content-length", String(length));
    const origin = isFromRouters ? encodeAnswerOrigin(head) : undefined;
    if (origin !== undefined) headers.push(handoverHeaders.answer, origin);
    if (closesAfter(res)) connections.closeAfter(res);
    res.writeHead(head.status, headers);
  }
}
