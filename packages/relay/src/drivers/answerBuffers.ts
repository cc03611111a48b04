/**
 * Buffers answers while they arrive, within the memory budget. Load pattern: several
 * replicas in trouble send bodies without an end at the same time, and sound requests are
 * answered beside them.
 */

import type { IncomingMessage } from "node:http";
import { progressBytes } from "../decisions/constants.js";
import { maxAnswerBytes, waitingBytes } from "../decisions/memory/constants.js";
import { Holder } from "../decisions/memory/types.js";
import {
  createByteCollector,
  type ByteCollector,
} from "./memory/byteCollector.js";
import type { Holding } from "./memory/holding.js";
import type { MemoryBudget } from "./memory/memoryBudget.js";

const noRoom = "there is no memory for the answer";
const tooLong = "the answer is too long";

/** Options of a buffer. */
export interface AnswerBufferOptions {
  /** Length that the answer's head names; undefined if it names none. */
  readonly length: number | undefined;
  /** Called for each part of an answer that names its length, and when it has to wait for memory. */
  readonly onProgress?: (isHeldBack: boolean) => void;
  /** Called once if the answer cannot be buffered to its end; the buffer is empty then. */
  readonly onOverflow: (reason: string) => void;
}

/** The bytes of one answer. */
export class AnswerBuffer {
  private readonly holding: Holding;
  private collector: ByteCollector | undefined;
  /** Bytes that had arrived at the last part that was reported. */
  private reportedBytes = 0;

  private constructor(
    private readonly budget: MemoryBudget,
    private readonly options: AnswerBufferOptions,
  ) {
    this.holding = budget.hold({
      holder: Holder.ArrivingAnswer,
      isSized: options.length !== undefined,
      onGiveWay: (reason) => {
        this.overflow(reason);
      },
    });
  }

  /** Opens a buffer; undefined, and reported, if the answer names a length that is not taken. */
  static create(
    budget: MemoryBudget,
    options: AnswerBufferOptions,
  ): AnswerBuffer | undefined {
    if ((options.length ?? 0) <= maxAnswerBytes)
      return new AnswerBuffer(budget, options);
    options.onOverflow(tooLong);
    return undefined;
  }

  /** Reads a response as soon as there is room for the length that it names. */
  fill(res: IncomingMessage): void {
    this.whenRoom(() => {
      res.on("data", (chunk: Buffer) => {
        this.push(chunk);
        this.awaitRoomForRest(res);
      });
    });
  }

  /** Calls back at once, or when there is room for the length that the answer names. */
  whenRoom(onRoom: () => void): void {
    const { holding, budget } = this;
    const { length = 0, onProgress } = this.options;
    let isHeldBack = false;
    const isDecided = budget.whenRoom({
      holding,
      holder: Holder.ArrivingAnswer,
      bytes: length,
      until: Infinity, // the call is abandoned by its deadline
      onDecided: (hasRoom) => {
        if (!hasRoom) {
          this.overflow(noRoom);
          return;
        }
        holding.arrive(0);
        if (isHeldBack) onProgress?.(false);
        onRoom();
      },
    });
    if (isDecided) return;
    isHeldBack = true;
    const heldBytes = Math.min(length, waitingBytes);
    if (budget.tryWait(holding, Holder.WaitingAnswer, heldBytes))
      onProgress?.(true);
    else this.overflow("too many answers wait for memory");
  }

  /** Adds bytes that arrived; they are dropped once the buffer is closed. */
  push(chunk: Buffer): void {
    if (!this.holding.isOpen) return;
    this.collector ??= createByteCollector(this.options.length);
    this.collector.push(chunk);
    const { bytes } = this.collector;
    if (bytes > this.holding.bytes) this.hold(bytes);
    this.holding.arrive(bytes);
    if (this.holding.isSized) this.reportProgress(bytes);
  }

  /** Sets how many bytes its reader holds itself. */
  hold(bytes: number): void {
    if (bytes > maxAnswerBytes) this.overflow(tooLong);
    else this.budget.forceResize(this.holding, bytes);
  }

  /** Returns the whole answer and frees the buffer. */
  take(): Buffer {
    const body = this.collector?.take() ?? Buffer.alloc(0);
    this.close();
    return body;
  }

  /** Frees the buffer; may be called again. */
  close(): void {
    this.holding.close();
    this.collector = undefined;
  }

  private reportProgress(bytes: number): void {
    if (bytes - this.reportedBytes < progressBytes) return;
    this.reportedBytes = bytes;
    this.options.onProgress?.(false);
  }

  /** Reads on once there is room again, if the answer's room was given to others meanwhile. */
  private awaitRoomForRest(res: IncomingMessage): void {
    const { holding, budget } = this;
    const { length = 0, onProgress } = this.options;
    if (!holding.isOpen || holding.bytes >= length) return;
    const { bytes: arrivedBytes } = holding;
    res.pause();
    const isDecided = budget.whenRoom({
      holding,
      holder: Holder.ArrivingAnswer,
      bytes: length,
      until: Infinity, // the call is abandoned by its deadline
      isRest: true,
      onDecided: (hasRoom) => {
        if (!hasRoom) {
          this.overflow(noRoom);
          return;
        }
        holding.arrive(arrivedBytes);
        onProgress?.(false);
        res.resume();
      },
    });
    if (!isDecided) onProgress?.(true);
  }

  private overflow(reason: string): void {
    this.close();
    this.options.onOverflow(reason);
  }
}
