/** Writes one answer to a caller, streamed or whole. */

import type { ServerResponse } from "node:http";
import { assertNever } from "@cardamomglade/common";
import type { EngineToken, FinishReason } from "@cardamomglade/schema";
import { statusOf, type ApiError } from "../errors.js";
import { TokenText } from "./tokenText.js";

/** Which OpenAI-style shape an answer has. */
export type AnswerShape = "chat" | "completion";

/** What a writer needs to know of its request. */
export interface AnswerOptions {
  readonly requestId: string;
  readonly model: string;
  readonly shape: AnswerShape;
  readonly isStreamed: boolean;
  readonly promptTokens: number;
  /** Event id of the answer up to an offset. */
  readonly cursorAt: (attempt: number, offset: number) => string;
}

/** Answers with a typed error. */
export const sendError = (res: ServerResponse, error: ApiError): void => {
  if (res.destroyed || res.writableEnded) return;
  const { type, message, ran, retryAfterS } = error;
  const retry =
    retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  res.writeHead(statusOf(error), {
    "content-type": "application/json",
    ...retry,
  });
  res.end(JSON.stringify({ error: { type, message, ran } }));
};

const streamHeaders = {
  "content-type": "text/event-stream",
  "cache-control": "no-store",
};

/** Writer of one answer. */
export class AnswerWriter {
  private readonly text = TokenText.create();
  private whole = "";

  private constructor(
    private readonly res: ServerResponse,
    private readonly options: AnswerOptions,
  ) {}

  static create(res: ServerResponse, options: AnswerOptions): AnswerWriter {
    return new AnswerWriter(res, options);
  }

  /** Adds tokens; returns false where the caller is slow. */
  deliver(
    attempt: number,
    offset: number,
    tokens: readonly EngineToken[],
  ): boolean {
    const text = this.text.push(tokens);
    if (!this.options.isStreamed) {
      this.whole += text;
      return true;
    }
    this.start();
    const id = this.options.cursorAt(attempt, offset + tokens.length);
    return this.res.write(
      `id: ${id}\ndata: ${JSON.stringify(this.chunk(text, null))}\n\n`,
    );
  }

  finish(reason: FinishReason, completionTokens: number): void {
    const rest = this.text.end();
    const { promptTokens } = this.options;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    };
    if (!this.options.isStreamed) {
      this.res.writeHead(200, { "content-type": "application/json" });
      this.res.end(
        JSON.stringify({ ...this.answer(this.whole + rest, reason), usage }),
      );
      return;
    }
    this.start();
    this.res.write(
      `data: ${JSON.stringify({ ...this.chunk(rest, reason), usage })}\n\n`,
    );
    this.res.end("data: [DONE]\n\n");
  }

  fail(error: ApiError): void {
    if (!this.res.headersSent) {
      sendError(this.res, error);
      return;
    }
    const { type, message, ran } = error;
    this.res.end(
      `event: error\ndata: ${JSON.stringify({ error: { type, message, ran } })}\n\n`,
    );
  }

  private start(): void {
    if (!this.res.headersSent) this.res.writeHead(200, streamHeaders);
  }

  private chunk(text: string, finish: FinishReason | null) {
    const { requestId: id, model, shape } = this.options;
    switch (shape) {
      case "chat":
        return {
          id,
          object: "chat.completion.chunk",
          model,
          choices: [
            { index: 0, delta: { content: text }, finish_reason: finish },
          ],
        };
      case "completion":
        return {
          id,
          object: "text_completion",
          model,
          choices: [{ index: 0, text, finish_reason: finish }],
        };
      default:
        return assertNever(shape);
    }
  }

  private answer(text: string, finish: FinishReason) {
    const { requestId: id, model, shape } = this.options;
    switch (shape) {
      case "chat":
        return {
          id,
          object: "chat.completion",
          model,
          choices: [
            {
              index: 0,
              message: { role: "assistant", content: text },
              finish_reason: finish,
            },
          ],
        };
      case "completion":
        return {
          id,
          object: "text_completion",
          model,
          choices: [{ index: 0, text, finish_reason: finish }],
        };
      default:
        return assertNever(shape);
    }
  }
}
