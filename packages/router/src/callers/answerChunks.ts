/** Builds answers and streamed chunks in the shapes of the OpenAI API. */

import { assertNever } from "@cardamomglade/common";
import type { FinishReason } from "@cardamomglade/schema";

/** API whose answer shape is used: chat completions or completions. */
export type AnswerShape = "chat" | "completion";

/** Fields common to all chunks of an answer. */
export interface AnswerHead {
  readonly requestId: string;
  readonly model: string;
  readonly shape: AnswerShape;
}

/** One chunk of a streamed answer. */
export const chunkOf = (
  { requestId: id, model, shape }: AnswerHead,
  text: string,
  finish: FinishReason | null,
) => {
  switch (shape) {
    case "chat": {
      const delta = { content: text };
      return {
        id,
        object: "chat.completion.chunk",
        model,
        choices: [{ index: 0, delta, finish_reason: finish }],
      };
    }
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
};

/** A complete answer that is not streamed. */
export const answerOf = (
  head: AnswerHead,
  text: string,
  finish: FinishReason,
) => {
  const { requestId: id, model, shape } = head;
  switch (shape) {
    case "chat": {
      const message = { role: "assistant", content: text };
      return {
        id,
        object: "chat.completion",
        model,
        choices: [{ index: 0, message, finish_reason: finish }],
      };
    }
    case "completion":
      return chunkOf(head, text, finish);
    default:
      return assertNever(shape);
  }
};
