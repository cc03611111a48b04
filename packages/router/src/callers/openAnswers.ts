/** Answers in progress for the callers connected to this router. */

import type { ServerResponse } from "node:http";
import { now } from "@cardamomglade/common";
import type { ApiError } from "../errors.js";
import { Counter, Latency, type Metrics } from "../metrics.js";
import type { RouterCommandOf, RouterEvent } from "../types.js";
import { AnswerWriter, type AnswerOptions } from "./answerWriter.js";

interface OpenAnswer {
  readonly writer: AnswerWriter;
  lastDeliveryAt: number;
  hasDelivered: boolean;
  isSlow: boolean;
  resumedAt: number | undefined;
}

/** Dependencies and limits of the open answers. */
export interface OpenAnswersOptions {
  readonly metrics: Metrics;
  /** Unsent bytes per caller above which its stream is paused. */
  readonly maxBufferBytes: number;
  readonly push: (event: RouterEvent) => void;
}

const keepAliveIntervalMs = 500;

/** Open answers by request id; the tokens of one event-loop turn are batched into one write per caller. */
export class OpenAnswers {
  private readonly answers = new Map<string, OpenAnswer>();
  private pendingFlush = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: OpenAnswersOptions) {
    this.timer = setInterval(() => {
      this.keepAlive();
    }, keepAliveIntervalMs).unref();
  }

  static create(options: OpenAnswersOptions): OpenAnswers {
    return new OpenAnswers(options);
  }

  /** Registers a caller's connection; an older connection of the same request is closed. */
  open(res: ServerResponse, options: AnswerOptions): void {
    const { requestId } = options;
    const previous = this.answers.get(requestId);
    const writer = AnswerWriter.create(res, options);
    const answer: OpenAnswer = {
      writer,
      lastDeliveryAt: now(),
      hasDelivered: false,
      isSlow: false,
      resumedAt: undefined,
    };
    this.answers.set(requestId, answer);
    previous?.writer.res.destroy();
    res.on("drain", () => {
      this.bufferDrained(requestId, answer);
    });
    res.on("close", () => {
      if (this.answers.get(requestId) !== answer) return;
      this.answers.delete(requestId);
      this.options.push({ type: "callerDisconnected", at: now(), requestId });
    });
  }

  /** Records that an answer resumes on another attempt. */
  recordResume(requestId: string): void {
    const answer = this.answers.get(requestId);
    if (answer === undefined) return;
    this.options.metrics.count(Counter.Resumes);
    answer.resumedAt ??= now();
  }

  deliver({ requestId, source, tokens }: RouterCommandOf<"deliver">): void {
    const answer = this.answers.get(requestId);
    if (answer === undefined) return;
    this.recordDelivery(answer, tokens.length);
    answer.writer.deliver(source, tokens);
    if (this.pendingFlush.size === 0) {
      setImmediate(() => {
        this.flush();
      });
    }
    this.pendingFlush.add(requestId);
  }

  finish(command: RouterCommandOf<"finishAnswer">): void {
    const { requestId, reason, completionTokens } = command;
    const answer = this.answers.get(requestId);
    this.answers.delete(requestId);
    answer?.writer.finish(reason, completionTokens);
  }

  /** Fails an answer; returns whether it was open. */
  fail(requestId: string, error: ApiError): boolean {
    const answer = this.answers.get(requestId);
    this.answers.delete(requestId);
    answer?.writer.fail(error);
    return answer !== undefined;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private recordDelivery(answer: OpenAnswer, tokens: number): void {
    const { metrics } = this.options;
    const at = now();
    const latency = answer.hasDelivered
      ? Latency.BetweenTokens
      : Latency.FirstToken;
    metrics.observe(latency, at - answer.lastDeliveryAt);
    metrics.count(Counter.Tokens, tokens);
    if (answer.resumedAt !== undefined) {
      metrics.observe(Latency.Resume, at - answer.resumedAt);
    }
    answer.resumedAt = undefined;
    answer.lastDeliveryAt = at;
    answer.hasDelivered = true;
  }

  private flush(): void {
    const ids = this.pendingFlush;
    this.pendingFlush = new Set();
    for (const requestId of ids) {
      const answer = this.answers.get(requestId);
      if (answer === undefined) continue;
      answer.writer.flush();
      this.checkBuffer(requestId, answer);
    }
  }

  private checkBuffer(requestId: string, answer: OpenAnswer): void {
    const { res, bufferedBytes } = answer.writer;
    const { maxBufferBytes, push } = this.options;
    const limitBytes = Math.max(maxBufferBytes, res.writableHighWaterMark);
    if (answer.isSlow || bufferedBytes <= limitBytes) return;
    answer.isSlow = true;
    push({ type: "callerSlow", at: now(), requestId });
  }

  private bufferDrained(requestId: string, answer: OpenAnswer): void {
    if (!answer.isSlow || this.answers.get(requestId) !== answer) return;
    answer.isSlow = false;
    this.options.push({ type: "callerReady", at: now(), requestId });
  }

  private keepAlive(): void {
    const idleSince = now() - keepAliveIntervalMs;
    for (const { writer, lastDeliveryAt, isSlow } of this.answers.values()) {
      if (lastDeliveryAt < idleSince && !isSlow) writer.keepAlive();
    }
  }
}
