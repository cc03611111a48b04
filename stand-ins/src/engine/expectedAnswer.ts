/** The answer that an unbroken run of a deterministic engine gives. */

import type { EngineToken } from "@cardamomglade/schema";
import { extendDigest, makeToken, seedDigest } from "./makeToken.js";

/** What the answer depends on. */
export interface ExpectedAnswerOptions {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Tokens of the answer, in order. */
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

/** Text of tokens. */
export const textOfTokens = (tokens: readonly EngineToken[]): string =>
  Buffer.concat(
    tokens.map(({ text, bytes }) =>
      bytes === undefined ? Buffer.from(text) : Buffer.from(bytes),
    ),
  ).toString("utf8");
