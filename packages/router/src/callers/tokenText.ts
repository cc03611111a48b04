/** Text of tokens; holds back bytes until they form whole characters. */

import { TextDecoder } from "node:util";
import type { EngineToken } from "@cardamomglade/schema";

/** Turns a sequence of tokens into text. */
export class TokenText {
  private decoder: TextDecoder | undefined;

  private constructor() {
    // Created by `create`.
  }

  static create(): TokenText {
    return new TokenText();
  }

  push(tokens: readonly EngineToken[]): string {
    let text = "";
    for (const token of tokens) text += this.textOf(token);
    return text;
  }

  /** Text of bytes that never formed a character. */
  end(): string {
    return this.decoder?.decode() ?? "";
  }

  private textOf(token: EngineToken): string {
    if (token.bytes === undefined && this.decoder === undefined)
      return token.text;
    this.decoder ??= new TextDecoder();
    const bytes =
      token.bytes === undefined
        ? Buffer.from(token.text)
        : Uint8Array.from(token.bytes);
    return this.decoder.decode(bytes, { stream: true });
  }
}
