/**
 * Bounds the bytes of all answers that this process buffers, whoever sends them. Load
 * pattern: several replicas in trouble send bodies without an end at the same time, and
 * sound requests are answered beside them.
 */

const bytesPerMiB = 1024 * 1024;

/** Bytes of one answer beyond which it is not buffered. */
export const maxAnswerBytes = 16 * bytesPerMiB;

/** Bytes of all answers together that one process buffers; a host has some hundred MB. */
export const maxBufferedBytes = 48 * bytesPerMiB;

/** Bytes from which an answer without a known end is given up before one that has one: streams hold less. */
const minEndlessBytes = bytesPerMiB / 4;

/** Options of a buffer. */
export interface AnswerBufferOptions {
  /** Length that the answer's head names; undefined if it names none. */
  readonly length: number | undefined;
  /** Called once if the answer cannot be buffered to its end; the buffer is empty then. */
  readonly onOverflow: (reason: string) => void;
}

/** The bytes of one answer. */
export class AnswerBuffer {
  private chunks: Buffer[] = [];
  private byteCount = 0;

  private constructor(
    private readonly owner: AnswerBuffers,
    private readonly options: AnswerBufferOptions,
  ) {}

  static create(
    owner: AnswerBuffers,
    options: AnswerBufferOptions,
  ): AnswerBuffer {
    return new AnswerBuffer(owner, options);
  }

  /** Number of bytes held. */
  get bytes(): number {
    return this.byteCount;
  }

  /** Whether the head of the answer tells where it ends. */
  get hasLength(): boolean {
    return this.options.length !== undefined;
  }

  /** Adds bytes that arrived; they are dropped once the buffer is closed. */
  push(chunk: Buffer): void {
    if (!this.owner.has(this)) return;
    this.chunks.push(chunk);
    this.hold(this.byteCount + chunk.length);
  }

  /** Sets how many bytes its reader holds itself. */
  hold(bytes: number): void {
    if (!this.owner.has(this)) return;
    const added = bytes - this.byteCount;
    this.byteCount = bytes;
    this.owner.grow(this, added);
  }

  /** Returns the whole answer and frees the buffer. */
  take(): Buffer {
    const body = Buffer.concat(this.chunks);
    this.close();
    return body;
  }

  /** Frees the buffer; may be called again. */
  close(): void {
    this.owner.remove(this);
    this.chunks = [];
    this.byteCount = 0;
  }

  /** Frees the buffer and tells its reader that the answer is given up. */
  overflow(reason: string): void {
    this.close();
    this.options.onOverflow(reason);
  }
}

/** All answers that a process buffers. */
export class AnswerBuffers {
  private readonly open = new Set<AnswerBuffer>();
  private byteCount = 0;

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): AnswerBuffers {
    return new AnswerBuffers(maxBytes);
  }

  /** Number of bytes held in all buffers. */
  get bytes(): number {
    return this.byteCount;
  }

  /** Opens a buffer; undefined, and reported, if the answer names a length that is not taken. */
  openBuffer(options: AnswerBufferOptions): AnswerBuffer | undefined {
    if ((options.length ?? 0) > maxAnswerBytes) {
      options.onOverflow("the answer is too long");
      return undefined;
    }
    const buffer = AnswerBuffer.create(this, options);
    this.open.add(buffer);
    return buffer;
  }

  /** Whether a buffer is open. */
  has(buffer: AnswerBuffer): boolean {
    return this.open.has(buffer);
  }

  /** Counts bytes that an open buffer took, and gives up answers that are too much. */
  grow(buffer: AnswerBuffer, bytes: number): void {
    this.byteCount += bytes;
    if (buffer.bytes > maxAnswerBytes)
      buffer.overflow("the answer is too long");
    while (this.byteCount > this.maxBytes) {
      const victim = this.leastPromising();
      if (victim === undefined) return;
      victim.overflow("too many bytes of answers are buffered");
    }
  }

  /** Stops counting a buffer. */
  remove(buffer: AnswerBuffer): void {
    if (this.open.delete(buffer)) this.byteCount -= buffer.bytes;
  }

  /** The largest answer that may have no end, or else the largest of all. */
  private leastPromising(): AnswerBuffer | undefined {
    const all = [...this.open].sort((a, b) => b.bytes - a.bytes);
    const mayBeEndless = ({ hasLength, bytes }: AnswerBuffer) =>
      !hasLength && bytes >= minEndlessBytes;
    return all.find(mayBeEndless) ?? all[0];
  }
}

/** The answers that this process buffers. */
export const answerBuffers = AnswerBuffers.create(maxBufferedBytes);
