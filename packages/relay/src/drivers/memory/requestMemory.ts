/** The memory that one request takes, from its head to the last byte of its answer. */

import { now } from "@cardamomglade/common";
import { requestBytesOf } from "../../decisions/memory/budgetBytes.js";
import {
  maxRoomWaitMs,
  waitingBytes,
} from "../../decisions/memory/constants.js";
import { Holder } from "../../decisions/memory/types.js";
import type { Holding } from "./holding.js";
import type { MemoryBudget } from "./memoryBudget.js";
import { memoryGuard } from "./memoryGuard.js";

/** What becomes of a body that needs room. */
export interface RoomDecision {
  readonly onRoom: () => void;
  readonly onNoRoom: () => void;
}

/** Memory of one request. */
export class RequestMemory {
  readonly holding: Holding;
  private onNoRoom: (() => void) | undefined;
  private behindBytes = 0;
  /** Closes the connection of a caller that does not read. */
  private onUnread: ((reason: string) => void) | undefined;

  private constructor(
    private readonly budget: MemoryBudget,
    private readonly headBytes: number,
    isSized: boolean,
  ) {
    this.holding = budget.hold({
      holder: Holder.ReadingRequest,
      isSized,
      onGiveWay: (reason) => {
        if (this.holding.holder === Holder.UnreadAnswer)
          this.onUnread?.(reason);
        else this.onNoRoom?.();
      },
    });
  }

  /** Takes the memory of a head; undefined if there is no room for it. */
  static create(
    budget: MemoryBudget,
    headBytes: number,
    isSized: boolean,
  ): RequestMemory | undefined {
    const bytes = requestBytesOf(headBytes);
    const memory = new RequestMemory(budget, bytes, isSized);
    memoryGuard.note(bytes);
    if (budget.tryResize(memory.holding, bytes)) return memory;
    memory.close();
    return undefined;
  }

  /** Calls back at once, or within some time, whether a body of this length may be read. */
  whenRoomForBody(length: number, { onRoom, onNoRoom }: RoomDecision): void {
    const { holding, budget } = this;
    const bytes = this.headBytes + length;
    this.onNoRoom = onNoRoom;
    const isDecided = budget.whenRoom({
      holding,
      holder: Holder.ReadingRequest,
      bytes,
      until: now() + maxRoomWaitMs,
      onDecided: (hasRoom) => {
        if (!hasRoom) {
          onNoRoom();
          return;
        }
        holding.expectProgress();
        onRoom();
      },
    });
    if (isDecided) return;
    const heldBytes = this.headBytes + Math.min(length, waitingBytes);
    if (budget.tryWait(holding, Holder.WaitingRequest, heldBytes)) return;
    this.close();
    onNoRoom();
  }

  /**
   * Reads a body whose length is not known at once: what waits is in the buffers of its
   * stream, one for each chunk, however short.
   */
  takeAsItArrives(onNoRoom: () => void, read: () => void): void {
    this.onNoRoom = onNoRoom;
    this.holding.expectProgress();
    read();
  }

  /** Takes bytes of a body whose length is not known; false if there is no room for them. */
  grow(bytes: number): boolean {
    if (bytes === 0) return true;
    return this.budget.tryResize(this.holding, this.holding.bytes + bytes);
  }

  /** Holds what the parser keeps behind the part of a body that was read; false if there is no room for it. */
  holdBehind(bytes: number): boolean {
    const addedBytes = bytes - this.behindBytes;
    if (addedBytes === 0) return true;
    this.behindBytes = bytes;
    memoryGuard.note(Math.max(0, addedBytes));
    return this.budget.tryResize(this.holding, this.holding.bytes + addedBytes);
  }

  /** The request was read whole; it is kept for its attempts. */
  keep(): void {
    this.holdBehind(0);
    this.holding.expectNothing();
    this.holding.become(Holder.KeptRequest);
  }

  /** Only the answer is held from now on, until its caller has read it. */
  answer(bytes: number, onUnread: (reason: string) => void): void {
    this.onUnread = onUnread;
    this.holding.become(Holder.UnreadAnswer);
    this.holding.set(this.headBytes + bytes);
  }

  /** Gives up a request that is being read, since there is no room for what arrives. */
  giveUp(): void {
    if (this.holding.isOpen) this.holding.giveWay("memory is short");
  }

  /** Gives up a request whose body has stopped; returns whether it did. */
  giveUpStalled(): boolean {
    const { isOpen, holder, progressBy } = this.holding;
    const isReading = holder === Holder.ReadingRequest;
    if (!isOpen || !isReading || now() <= progressBy) return false;
    this.giveUp();
    return true;
  }

  /** Frees all; may be called again. */
  close(): void {
    this.holding.close();
  }
}
