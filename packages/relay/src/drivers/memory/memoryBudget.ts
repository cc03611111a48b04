/**
 * The memory that requests and answers take in this process. Load pattern: callers send or
 * ask for far more than the machine's memory, or leave it unread, beside small requests.
 */

import { now, type Timestamp } from "@cardamomglade/common";
import { budgetBytesOf } from "../../decisions/memory/budgetBytes.js";
import {
  chooseGivingWay,
  chooseLargest,
} from "../../decisions/memory/giveWay.js";
import { maxSmallBytes } from "../../decisions/memory/constants.js";
import {
  afterChange,
  noBytes,
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
import { Holding, type HoldingOptions } from "./holding.js";

/** Room that a holding needs by a time. */
export interface Claim {
  readonly holding: Holding;
  /** What the bytes are held for once there is room. */
  readonly holder: Holder;
  readonly bytes: number;
  readonly until: Timestamp;
  readonly onDecided: (hasRoom: boolean) => void;
}

/** Claims of one kind get room in the order in which they came. */
enum ClaimKind {
  SmallAnswer,
  LargeAnswer,
  SmallRequest,
  LargeRequest,
}

/** Called when the budget gets short, with how full it is, and when it has room again. */
export type OnShortage = (isShort: boolean, use: MemoryUse) => void;

const claimCheckMs = 50;
const relaxedFill = 0.5; // part of the budget below which it counts as relaxed
const giveWayReason = "memory is short";

const kindOf = ({ holder, bytes }: Claim): ClaimKind => {
  const isSmall = bytes <= maxSmallBytes;
  if (holder === Holder.ArrivingAnswer)
    return isSmall ? ClaimKind.SmallAnswer : ClaimKind.LargeAnswer;
  return isSmall ? ClaimKind.SmallRequest : ClaimKind.LargeRequest;
};

/** Whether a claim that waits goes before a new one. */
const isBefore = (waiting: Claim, claim: Claim): boolean =>
  kindOf(waiting) === kindOf(claim);

/** All holdings of one process. */
export class MemoryBudget {
  gaveWayCount = 0;
  private readonly open = new Set<Holding>();
  private claims: Claim[] = [];
  private readonly listeners = new Set<OnShortage>();
  private timer: NodeJS.Timeout | undefined;
  private isShort = false;
  private isDeciding = false;

  private constructor(private counted: MemoryUse) {}

  static create(maxBytes: number): MemoryBudget {
    return new MemoryBudget({
      maxBytes,
      heldBytes: noBytes,
      largeBytes: noBytes,
    });
  }

  /** Changes the size. */
  setMaxBytes(maxBytes: number): void {
    this.counted = { ...this.counted, maxBytes };
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
    const isFirst = !this.claims.some((one) => isBefore(one, claim));
    if (isFirst && this.tryClaim(claim)) {
      claim.onDecided(true);
      return true;
    }
    this.claims.push(claim);
    this.timer ??= setInterval(() => {
      this.decideClaims();
    }, claimCheckMs).unref();
    return false;
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
    this.gaveWayCount += 1;
    holding.giveWay(giveWayReason);
  }

  private onFreed(): void {
    if (this.claims.length > 0 && !this.isDeciding) {
      this.isDeciding = true;
      setImmediate(() => {
        this.decideClaims();
      });
    }
    if (this.isShort && this.bytes < relaxedFill * this.counted.maxBytes)
      this.setShort(false);
  }

  /** Lets claims in, in the order of each kind, and refuses those whose time is over. */
  private decideClaims(): void {
    this.isDeciding = false;
    const blocked = new Set<ClaimKind>();
    for (const claim of this.takeClaims()) {
      const { holding, until, onDecided } = claim;
      const kind = kindOf(claim);
      if (!holding.isOpen) continue;
      if (!blocked.has(kind) && this.tryClaim(claim)) {
        onDecided(true);
        continue;
      }
      blocked.add(kind);
      if (now() < until) this.claims.push(claim);
      else onDecided(false);
    }
    if (this.claims.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private takeClaims(): readonly Claim[] {
    const claims = this.claims;
    this.claims = [];
    return claims;
  }

  private setShort(isShort: boolean): void {
    if (this.isShort === isShort) return;
    this.isShort = isShort;
    for (const listener of this.listeners) listener(isShort, this.counted);
  }
}

/** The memory budget of this process. */
export const memoryBudget = MemoryBudget.create(budgetBytesOf(undefined));
