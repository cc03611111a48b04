/** Writes one answer to a caller, as a stream of server-sent events or as one JSON document. */

import type { ServerResponse } from "node:http";
import type { EngineToken, FinishReason } from "@cardamomglade/schema";
import type { ApiError } from "../errors.js";
import type { AnswerSource } from "../types.js";
import { answerOf, chunkOf, type AnswerHead } from "./answerChunks.js";
import { sendError } from "./sendError.js";
import { TokenDecoder } from "./tokenDecoder.js";

/** The properties of a request that its writer needs. */
export interface AnswerOptions extends AnswerHead {
  readonly isStreamed: boolean;
  readonly promptTokens: number;
  /** Advances the answer by the given tokens and returns the event id at its new end. */
  readonly cursorAfter: (
    source: AnswerSource,
    tokenIds: readonly number[],
  ) => string;
}

const streamHeaders = {
  "content-type": "text/event-stream",
  "cache-control": "no-store",
};

const keepAliveComment = ":\n\n";

/** Writes one answer; streamed tokens are buffered until the next flush. */
export class AnswerWriter {
  private readonly decoder = TokenDecoder.create();
  private fullText = "";
  private source: AnswerSource | undefined;
  private bufferedTokenIds: number[] = [];
  private bufferedText = "";
  // Tokens of an incomplete character; a cursor never points between them.
  private partialTokenIds: number[] = [];
  private partialText = "";

  private constructor(
    readonly res: ServerResponse,
    private readonly options: AnswerOptions,
  ) {}

  static create(res: ServerResponse, options: AnswerOptions): AnswerWriter {
    return new AnswerWriter(res, options);
  }

  /** Bytes written to the response but not yet sent to the caller. */
  get bufferedBytes(): number {
    return this.res.writableLength;
  }

  /** Buffers tokens until the next flush. */
  deliver(source: AnswerSource, tokens: readonly EngineToken[]): void {
    this.source = source;
    for (const token of tokens) this.addToken(token);
  }

  /** Writes the buffered tokens as one event. */
  flush(): void {
    if (!this.options.isStreamed || this.source === undefined) return;
    if (this.bufferedTokenIds.length === 0) return;
    const ids = this.bufferedTokenIds;
    const id = this.options.cursorAfter(this.source, ids);
    const chunk = chunkOf(this.options, this.bufferedText, null);
    this.bufferedTokenIds = [];
    this.bufferedText = "";
    this.writeStreamHead();
    const data = JSON.stringify({ ...chunk, token_ids: ids });
    this.res.write(`id: ${id}\ndata: ${data}\n\n`);
  }

  /** Sends a comment on an idle stream, so that the caller can tell that this router is alive. */
  keepAlive(): void {
    if (this.res.headersSent && this.options.isStreamed)
      this.res.write(keepAliveComment);
  }

  finish(reason: FinishReason, completionTokens: number): void {
    this.flush();
    const rest = this.partialText + this.decoder.end();
    const { promptTokens } = this.options;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    };
    if (!this.options.isStreamed) {
      const answer = answerOf(this.options, this.fullText + rest, reason);
      this.res.writeHead(200, { "content-type": "application/json" });
      this.res.end(JSON.stringify({ ...answer, usage }));
      return;
    }
    this.writeStreamHead();
    const chunk = chunkOf(this.options, rest, reason);
    const data = JSON.stringify({
      ...chunk,
      token_ids: this.partialTokenIds,
      usage,
    });
    this.res.end(`data: ${data}\n\ndata: [DONE]\n\n`);
  }

  fail(error: ApiError): void {
    if (!this.res.headersSent) {
      sendError(this.res, error);
      return;
    }
    this.flush();
    const { type, message, ran } = error;
    const data = JSON.stringify({ error: { type, message, ran } });
    this.res.end(`event: error\ndata: ${data}\n\n`);
  }

  private addToken(token: EngineToken): void {
    const text = this.decoder.push(token);
    if (!this.options.isStreamed) {
      this.fullText += text;
      return;
    }
    this.partialTokenIds.push(token.id);
    this.partialText += text;
    if (!this.decoder.isAtCharacterBoundary) return;
    this.bufferedTokenIds.push(...this.partialTokenIds);
    this.bufferedText += this.partialText;
    this.partialTokenIds = [];
    this.partialText = "";
  }

  private writeStreamHead(): void {
    if (!this.res.headersSent) this.res.writeHead(200, streamHeaders);
  }
}
