/**
 * The memory that events of one stream take until their caller has read them. Load
 * pattern: callers that leave their streams unread, beside callers that read theirs,
 * whose replicas may be silent for a while.
 */

import type { ServerResponse } from "node:http";
import { Holder } from "../../decisions/memory/types.js";
import type { Holding } from "./holding.js";
import type { MemoryBudget } from "./memoryBudget.js";
import { memoryGuard } from "./memoryGuard.js";

const heldRatio = 1.5; // an event keeps the buffer in which it arrived
const minCountedBytes = 16 * 1024; // less is taken by the socket at once

/** Events of one stream. */
export class UnreadEvents {
  private holding: Holding | undefined;
  private writtenBytes = 0;
  private readBytes = 0;
  private willCount = false;
  private isClosed = false;

  private constructor(
    private readonly budget: MemoryBudget,
    private readonly res: ServerResponse,
    private readonly onGiveWay: (reason: string) => void,
  ) {
    res.on("close", () => {
      this.isClosed = true;
      this.holding?.close();
    });
  }

  static create(
    budget: MemoryBudget,
    res: ServerResponse,
    onGiveWay: (reason: string) => void,
  ): UnreadEvents {
    return new UnreadEvents(budget, res, onGiveWay);
  }

  /** Writes bytes of events. */
  write(bytes: Uint8Array): void {
    this.writtenBytes += bytes.length;
    memoryGuard.note(bytes.length);
    // 'drain' is only emitted above the high-water mark.
    this.res.write(bytes, () => {
      this.update();
    });
  }

  /** Counts what the caller has not read, once Node has handed the events of this turn to the socket. */
  update(): void {
    if (this.willCount) return;
    this.willCount = true;
    process.nextTick(() => {
      this.willCount = false;
      this.count();
    });
  }

  private count(): void {
    if (this.isClosed) return;
    const unreadBytes = this.res.writableLength;
    if (this.holding === undefined && unreadBytes < minCountedBytes) return;
    const holding = (this.holding ??= this.open());
    const readBytes = this.writtenBytes - unreadBytes;
    // A response that waits for an earlier one on its connection cannot be read.
    const isItsTurn = this.res.socket !== null;
    if (unreadBytes === 0 || !isItsTurn) holding.expectNothing();
    else if (readBytes > this.readBytes || holding.bytes === 0)
      holding.expectProgress();
    this.readBytes = readBytes;
    this.budget.forceResize(holding, unreadBytes * heldRatio);
  }

  private open(): Holding {
    const { onGiveWay } = this;
    const holder = Holder.UnreadAnswer;
    const holding = this.budget.hold({ holder, isSized: true, onGiveWay });
    holding.expectProgress();
    return holding;
  }
}
