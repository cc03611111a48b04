/** Text of tokens; holds back bytes until they form whole characters. */

import { TextDecoder } from "node:util";
import type { EngineToken } from "@cardamomglade/schema";

const twoByteLead = 0xc2;
const threeByteLead = 0xe0;
const fourByteLead = 0xf0;
const highestLead = 0xf4;
const continuationMask = 0xc0;
const continuationMark = 0x80;

const missingAfterLead = (byte: number): number => {
  if (byte < twoByteLead || byte > highestLead) return 0;
  if (byte >= fourByteLead) return 3;
  return byte >= threeByteLead ? 2 : 1;
};

/** Turns a sequence of tokens into text. */
export class TokenText {
  private decoder: TextDecoder | undefined;
  private missingBytes = 0;

  private constructor() {
    // Created by `create`.
  }

  static create(): TokenText {
    return new TokenText();
  }

  /** Whether the text so far ends at the end of a character. */
  get isWhole(): boolean {
    return this.missingBytes === 0;
  }

  push(token: EngineToken): string {
    if (token.bytes === undefined && this.missingBytes === 0) return token.text;
    this.decoder ??= new TextDecoder("utf-8", { ignoreBOM: true });
    const bytes =
      token.bytes === undefined
        ? Buffer.from(token.text)
        : Uint8Array.from(token.bytes);
    for (const byte of bytes) this.count(byte);
    return this.decoder.decode(bytes, { stream: true });
  }

  /** Text of bytes that never formed a character. */
  end(): string {
    this.missingBytes = 0;
    return this.decoder?.decode() ?? "";
  }

  private count(byte: number): void {
    const isContinuation = (byte & continuationMask) === continuationMark;
    this.missingBytes =
      isContinuation && this.missingBytes > 0
        ? this.missingBytes - 1
        : missingAfterLead(byte);
  }
}
