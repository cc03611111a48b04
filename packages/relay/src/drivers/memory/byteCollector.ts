/** Collects the bytes of one body without a second copy of a large one. */

import { maxSmallBytes } from "../../decisions/memory/constants.js";
import { memoryGuard } from "./memoryGuard.js";

/** As ES2024 has it. */
type ResizableArrayBufferConstructor = new (
  length: number,
  options: { readonly maxByteLength: number },
) => ArrayBuffer;

/** Memory that is mapped by itself: pages are used as they are filled, and go back to the system. */
const mapBuffer = (length: number): Buffer => {
  const options = { maxByteLength: length };
  const Resizable = ArrayBuffer as ResizableArrayBufferConstructor;
  return Buffer.from(new Resizable(length, options), 0, length);
};

/** Bytes of one body. */
export class ByteCollector {
  private chunks: Uint8Array[] = [];
  private byteCount = 0;

  private constructor(private readonly whole: Buffer | undefined) {}

  /** Collects a body of this length, or of one that is not known. */
  static create(length?: number): ByteCollector {
    const isLarge = length !== undefined && length > maxSmallBytes;
    return new ByteCollector(isLarge ? mapBuffer(length) : undefined);
  }

  get bytes(): number {
    return this.byteCount;
  }

  /** Adds bytes; not more than the length. */
  push(chunk: Uint8Array): void {
    if (this.whole === undefined) this.chunks.push(chunk);
    else this.whole.set(chunk, this.byteCount);
    this.byteCount += chunk.length;
    memoryGuard.note(chunk.length);
  }

  /** Returns all bytes, and keeps none. */
  take(): Buffer {
    if (this.whole !== undefined) return this.whole.subarray(0, this.byteCount);
    const body = Buffer.concat(this.chunks);
    this.chunks = [];
    return body;
  }
}
