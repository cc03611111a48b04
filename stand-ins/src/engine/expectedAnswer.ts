/** The completion that a deterministic engine produces without interruption. */

import type { EngineToken } from "@cardamomglade/schema";
import { extendDigest, makeToken, seedDigest } from "./makeToken.js";

/** Inputs that determine the completion. */
export interface ExpectedAnswerOptions {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Tokens of the completion, in order. */
export const expectedTokens = (
  options: ExpectedAnswerOptions,
): EngineToken[] => {
  const { model, version, adapter = "", prompt, maxTokens } = options;
  const tokens: EngineToken[] = [];
  let digest = seedDigest(model, version, adapter, prompt);
  for (let offset = 0; offset < maxTokens; offset += 1) {
    const token = makeToken(digest, 0, tokens.at(-1)?.id ?? 0);
    digest = extendDigest(digest, token.id);
    tokens.push(token);
  }
  return tokens;
};

/** Text of a token sequence; joins characters that are split between tokens. */
export const textOfTokens = (tokens: readonly EngineToken[]): string =>
  Buffer.concat(
    tokens.map(({ text, bytes }) =>
      bytes === undefined ? Buffer.from(text) : Buffer.from(bytes),
    ),
  ).toString("utf8");
