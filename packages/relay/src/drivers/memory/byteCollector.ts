/** Collects the bytes of one body, without a second copy of a large one and without a buffer for each part. */

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

const firstBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

/** Bytes that a buffer of its own takes beside its bytes. */
const bufferBytes = 256;

/** Collects the bytes of one body. */
export interface ByteCollector {
  readonly bytes: number;
  /** Memory that `push` is going to take for bytes. */
  memoryFor(chunk: Uint8Array): number;
  /** Adds bytes; not more than the length. */
  push(chunk: Uint8Array): void;
  /** Returns all bytes, and keeps none. */
  take(): Buffer;
}

/** Bytes of a body of a known length. */
class SizedCollector implements ByteCollector {
  bytes = 0;

  private constructor(private readonly whole: Buffer) {}

  static create(length: number): SizedCollector {
    const isLarge = length > maxSmallBytes;
    return new SizedCollector(
      isLarge ? mapBuffer(length) : Buffer.allocUnsafeSlow(length),
    );
  }

  memoryFor(): number {
    return 0; // taken already
  }

  push(chunk: Uint8Array): void {
    this.whole.set(chunk, this.bytes);
    this.bytes += chunk.length;
    memoryGuard.note(chunk.length + bufferBytes);
  }

  take(): Buffer {
    return this.whole.subarray(0, this.bytes);
  }
}

/**
 * Bytes of a body that may come in any parts. Load pattern: callers that send chunks of a
 * few bytes, each of which arrives as a buffer that takes hundreds.
 */
class BlockCollector implements ByteCollector {
  bytes = 0;
  private blocks: Buffer[] = [];
  private block = Buffer.alloc(0);
  /** Bytes of the last block that are used. */
  private usedBytes = 0;

  private constructor() {
    // Created by `create`.
  }

  static create(): BlockCollector {
    return new BlockCollector();
  }

  memoryFor({ length }: Uint8Array): number {
    return this.hasRoomFor(length) ? 0 : this.nextBytes(length) + bufferBytes;
  }

  push(chunk: Uint8Array): void {
    const { length } = chunk;
    if (!this.hasRoomFor(length)) this.openBlock(this.nextBytes(length));
    this.block.set(chunk, this.usedBytes);
    this.usedBytes += length;
    this.bytes += length;
    memoryGuard.note(length + bufferBytes);
  }

  take(): Buffer {
    this.closeBlock();
    const [first = Buffer.alloc(0), ...others] = this.blocks;
    this.blocks = [];
    if (others.length === 0) return first;
    memoryGuard.note(this.bytes);
    return Buffer.concat([first, ...others]);
  }

  private hasRoomFor(length: number): boolean {
    return this.usedBytes + length <= this.block.length;
  }

  /** Bytes of the next block: it grows with the body. */
  private nextBytes(length: number): number {
    const bytes = Math.min(maxBlockBytes, 2 * this.block.length);
    return Math.max(length, firstBlockBytes, bytes);
  }

  private openBlock(bytes: number): void {
    this.closeBlock();
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.usedBytes = 0;
  }

  private closeBlock(): void {
    if (this.usedBytes > 0)
      this.blocks.push(this.block.subarray(0, this.usedBytes));
    this.usedBytes = 0;
    this.block = Buffer.alloc(0);
  }
}

/** Collects a body of this length, or of one that is not known. */
export const createByteCollector = (length?: number): ByteCollector =>
  length === undefined
    ? BlockCollector.create()
    : SizedCollector.create(length);
