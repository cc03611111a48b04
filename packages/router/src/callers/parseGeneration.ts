/** Parses a generation request from the body of a caller's request. */

import type { ErrorObject } from "ajv";
import { err, ok, type Result } from "@cardamomglade/common";
import {
  validateChatBody,
  validateCompletionBody,
  type ChatBody,
  type CompletionBody,
} from "@cardamomglade/schema";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type { AnswerShape } from "./answerChunks.js";
import { parseBody } from "./readBody.js";

/** A parsed body; chat messages are joined into one prompt. */
export interface ParsedGeneration {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly isStreamed: boolean;
  /** Text that a resuming caller has already received. */
  readonly prefix?: string;
  /** Ids of the tokens that a resuming caller has already received. */
  readonly prefixTokenIds?: readonly number[];
}

const defaultMaxTokens = 1024;

const promptOf = (body: CompletionBody | ChatBody): string =>
  "messages" in body
    ? body.messages.map(({ role, content }) => `${role}: ${content}`).join("\n")
    : body.prompt;

const malformedError = (errors: readonly ErrorObject[] | null | undefined) => {
  const first = errors?.[0];
  const fieldPath = first?.instancePath === "" ? "body" : first?.instancePath;
  const message = `${fieldPath ?? "body"} ${first?.message ?? "is malformed"}`;
  return err(notRunError(ErrorType.Malformed, message));
};

/** The parsed body, or a typed error that names the invalid field. */
export const parseGeneration = (
  text: string,
  shape: AnswerShape,
): Result<ParsedGeneration, ApiError> => {
  const parsed = parseBody(text);
  if (parsed.type === "err") return parsed;
  const validate = shape === "chat" ? validateChatBody : validateCompletionBody;
  const body = parsed.value;
  if (!validate(body)) return malformedError(validate.errors);
  return ok({
    model: body.model,
    prompt: promptOf(body),
    maxTokens: body.max_tokens ?? defaultMaxTokens,
    stop: body.stop ?? [],
    isStreamed: body.stream ?? false,
    ...(body.prefix === undefined ? {} : { prefix: body.prefix }),
    ...(body.prefix_token_ids === undefined
      ? {}
      : { prefixTokenIds: body.prefix_token_ids }),
  });
};
