/** Decodes tokens to text; holds back the bytes of an incomplete UTF-8 character. */

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

/** Incremental decoder of a sequence of tokens. */
export class TokenDecoder {
  private decoder: TextDecoder | undefined;
  private missingBytes = 0;

  private constructor() {
    // Instances are made by `create`.
  }

  static create(): TokenDecoder {
    return new TokenDecoder();
  }

  /** Whether the bytes so far end at a character boundary. */
  get isAtCharacterBoundary(): boolean {
    return this.missingBytes === 0;
  }

  push(token: EngineToken): string {
    if (token.bytes === undefined && this.missingBytes === 0) return token.text;
    this.decoder ??= new TextDecoder("utf-8", { ignoreBOM: true });
    const bytes =
      token.bytes === undefined
        ? Buffer.from(token.text)
        : Uint8Array.from(token.bytes);
    for (const byte of bytes) this.countByte(byte);
    return this.decoder.decode(bytes, { stream: true });
  }

  /** Ends the text; returns replacement characters for an incomplete character. */
  end(): string {
    this.missingBytes = 0;
    return this.decoder?.decode() ?? "";
  }

  private countByte(byte: number): void {
    const isContinuation = (byte & continuationMask) === continuationMark;
    this.missingBytes =
      isContinuation && this.missingBytes > 0
        ? this.missingBytes - 1
        : missingAfterLead(byte);
  }
}
