/** Decodes tokens to text; bytes of an incomplete UTF-8 character are held back until it is complete. */

import { TextDecoder } from "node:util";
import type { EngineToken } from "@cardamomglade/schema";

const minTwoByteLead = 0xc2;
const minThreeByteLead = 0xe0;
const minFourByteLead = 0xf0;
const maxLeadByte = 0xf4;
const continuationMask = 0xc0;
const continuationBits = 0x80;

const continuationByteCountOf = (byte: number): number => {
  if (byte < minTwoByteLead || byte > maxLeadByte) return 0;
  if (byte >= minFourByteLead) return 3;
  return byte >= minThreeByteLead ? 2 : 1;
};

/** Incremental decoder of a sequence of tokens. */
export class TokenDecoder {
  private decoder: TextDecoder | undefined;
  private missingByteCount = 0;

  private constructor() {
    // Instances are made by `create`.
  }

  static create(): TokenDecoder {
    return new TokenDecoder();
  }

  /** Whether the bytes so far end at a character boundary. */
  get isAtCharacterBoundary(): boolean {
    return this.missingByteCount === 0;
  }

  push(token: EngineToken): string {
    if (token.bytes === undefined && this.missingByteCount === 0)
      return token.text;
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
    this.missingByteCount = 0;
    return this.decoder?.decode() ?? "";
  }

  private countByte(byte: number): void {
    const isContinuation = (byte & continuationMask) === continuationBits;
    this.missingByteCount =
      isContinuation && this.missingByteCount > 0
        ? this.missingByteCount - 1
        : continuationByteCountOf(byte);
  }
}
