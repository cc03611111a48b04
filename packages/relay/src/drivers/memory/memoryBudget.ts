/**
 * The memory that requests and answers take in this process. Load pattern: callers send or
 * ask for far more than the machine's memory, or leave it unread, beside small requests.
 */

import { now } from "@cardamomglade/common";
import { budgetBytesOf } from "../../decisions/memory/budgetBytes.js";
import {
  chooseGivingWay,
  chooseLargest,
  isIdleReservation,
} from "../../decisions/memory/giveWay.js";
import {
  afterChange,
  emptyUseOf,
  totalBytes,
} from "../../decisions/memory/countBytes.js";
import { exceededParts, hasRoom } from "../../decisions/memory/hasRoom.js";
import { countsIn } from "../../decisions/memory/parts.js";
import { planRoom } from "../../decisions/memory/planRoom.js";
import {
  Holder,
  type HeldBytes,
  type MemoryUse,
} from "../../decisions/memory/types.js";
import { ClaimQueue, type Claim } from "./claimQueue.js";
import { Holding, type HoldingOptions } from "./holding.js";

/** Called when the budget gets short, with how full it is, and when it has room again. */
export type OnShortage = (isShort: boolean, use: MemoryUse) => void;

const relaxedFill = 0.5; // part of the budget below which it counts as relaxed
const giveWayReason = "memory is short";

/** All holdings of one process. */
export class MemoryBudget {
  gaveWayCount = 0;
  private readonly open = new Set<Holding>();
  private readonly claims = ClaimQueue.create({
    tryClaim: (claim) => this.tryClaim(claim),
    mayFit: ({ holder, bytes }) =>
      hasRoom(emptyUseOf(this.counted.maxBytes), holder, bytes, bytes),
  });
  private readonly listeners = new Set<OnShortage>();
  private isShort = false;

  private constructor(private counted: MemoryUse) {}

  static create(maxBytes: number): MemoryBudget {
    return new MemoryBudget(emptyUseOf(maxBytes));
  }

  /** Changes the size. */
  setMaxBytes(maxBytes: number): void {
    this.counted = { ...this.counted, maxBytes };
    this.claims.decideSoon();
  }

  /** Bytes held, by what they are held for, and how many may be. */
  use(): MemoryUse {
    return this.counted;
  }

  /** Bytes held for everything together. */
  get bytes(): number {
    return totalBytes(this.counted);
  }

  /** Reports shortages; returns what ends the reports. */
  onShortage(listener: OnShortage): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Opens a holding without bytes. */
  hold(options: HoldingOptions): Holding {
    const holding = Holding.create(this, options);
    this.open.add(holding);
    return holding;
  }

  /** Takes bytes if there is room, or if enough gives way. */
  tryResize(holding: Holding, bytes: number): boolean {
    if (!this.open.has(holding)) return false;
    if (!this.fits(holding, bytes)) {
      this.setShort(true);
      this.makeRoom(holding, bytes);
    }
    // What gave way may have been its own.
    if (!this.open.has(holding) || !this.fits(holding, bytes)) return false;
    this.resize(holding, bytes);
    return true;
  }

  /** Takes bytes that have arrived already: the largest of their kind gives way, which may be these. */
  forceResize(holding: Holding, bytes: number): void {
    this.resize(holding, bytes);
    while (this.open.has(holding) && !this.fits(holding, bytes)) {
      this.setShort(true);
      const chosen = this.chooseHelping(holding);
      if (chosen === undefined) return;
      this.giveWay(chosen);
    }
  }

  /** Decides at once, or by a time, whether there is room for bytes; returns whether it was at once. */
  whenRoom(claim: Claim): boolean {
    return this.claims.add(claim);
  }

  /** Holds what has arrived of something that waits for room; false if too much waits. */
  tryWait(holding: Holding, holder: Holder, bytes: number): boolean {
    holding.become(holder);
    return this.tryResize(holding, bytes);
  }

  /** Sets how many bytes are held. */
  resize(holding: Holding, bytes: number): void {
    if (!this.open.has(holding)) return; // it may have given way before its bytes came
    const { holder, bytes: before } = holding;
    this.counted = afterChange(this.counted, holding, { holder, bytes });
    holding.bytes = bytes;
    holding.reservedBytes = Math.min(holding.reservedBytes, bytes);
    if (bytes < before) this.onFreed();
  }

  /** Counts the bytes of a holding for something else. */
  rename(holding: Holding, holder: Holder): void {
    const { bytes } = holding;
    this.counted = afterChange(this.counted, holding, { holder, bytes });
  }

  /** Stops counting a holding. */
  close(holding: Holding): void {
    this.resize(holding, 0);
    this.open.delete(holding);
  }

  private tryClaim({ holding, holder, bytes }: Claim): boolean {
    const before = holding.holder;
    holding.become(holder);
    if (this.tryResize(holding, bytes)) return true;
    holding.become(before);
    return false;
  }

  private fits(holding: Holding, bytes: number): boolean {
    const added = bytes - holding.bytes;
    return hasRoom(this.counted, holding.holder, bytes, added);
  }

  private makeRoom(needing: Holding, bytes: number): void {
    const { open: all, counted: use } = this;
    const plan = planRoom({ all, use, needing, bytes, at: now() });
    for (const held of plan ?? []) if (held.isOpen) this.giveWay(held);
  }

  /** Chooses what frees bytes of each part that has too many; the holding itself does. */
  private chooseHelping(holding: Holding): Holding | undefined {
    const exceeded = exceededParts(this.counted, holding);
    const helps = (held: HeldBytes) =>
      exceeded.every((part) => countsIn(part, held));
    return (
      chooseGivingWay(this.open, holding, now(), helps) ??
      chooseLargest(this.open, holding, helps)
    );
  }

  private giveWay(holding: Holding): void {
    if (isIdleReservation(holding, now())) {
      holding.release();
      return;
    }
    this.gaveWayCount += 1;
    holding.giveWay(giveWayReason);
  }

  private onFreed(): void {
    this.claims.decideSoon();
    if (this.isShort && this.bytes < relaxedFill * this.counted.maxBytes)
      this.setShort(false);
  }

  private setShort(isShort: boolean): void {
    if (this.isShort === isShort) return;
    this.isShort = isShort;
    for (const listener of this.listeners) listener(isShort, this.counted);
  }
}

/** The memory budget of this process. */
export const memoryBudget = MemoryBudget.create(budgetBytesOf(undefined));
