/** Bytes that one request or answer holds of the memory budget. */

import { now, type Timestamp } from "@cardamomglade/common";
import {
  idleReservationMs,
  minProgressBytes,
  stallMs,
} from "../../decisions/memory/constants.js";
import type { HeldBytes, Holder } from "../../decisions/memory/types.js";

/** What a holding tells the budget that counts it. */
export interface HoldingOwner {
  /** Takes or frees bytes, without a check. */
  resize(holding: Holding, bytes: number): void;
  rename(holding: Holding, holder: Holder): void;
  close(holding: Holding): void;
}

/** Options of a holding. */
export interface HoldingOptions {
  readonly holder: Holder;
  /** Whether the sender named the length. */
  readonly isSized: boolean;
  /** Called once if the holding was closed because memory is short. */
  readonly onGiveWay: (reason: string) => void;
}

/** One holding; without effect once it is closed. */
export class Holding implements HeldBytes {
  /** Set by the owner only. */
  bytes = 0;
  reservedBytes = 0;
  holder: Holder;
  isOpen = true;
  progressBy: Timestamp = Infinity;
  private movedBytes = 0;

  private constructor(
    private readonly owner: HoldingOwner,
    private readonly options: HoldingOptions,
  ) {
    this.holder = options.holder;
  }

  static create(owner: HoldingOwner, options: HoldingOptions): Holding {
    return new Holding(owner, options);
  }

  get isSized(): boolean {
    return this.options.isSized;
  }

  /** Sets how many bytes are held, whether or not there is room. */
  set(bytes: number): void {
    if (this.isOpen) this.owner.resize(this, bytes);
  }

  /** Holds the bytes for something else from now on. */
  become(holder: Holder): void {
    if (this.isOpen) this.owner.rename(this, holder);
    this.holder = holder;
  }

  /** From now on the other side has to send or read more in time. */
  expectProgress(): void {
    this.movedBytes = 0;
    this.progressBy = now() + stallMs;
  }

  /** Notes bytes that the other side sent or read. */
  move(bytes: number): void {
    this.movedBytes += bytes;
    if (this.movedBytes >= minProgressBytes) this.expectProgress();
  }

  /** Notes how many of the bytes have arrived; the others are kept free while more arrive in time. */
  arrive(bytes: number): void {
    this.reservedBytes = Math.max(0, this.bytes - bytes);
    this.progressBy = now() + idleReservationMs;
  }

  /** Frees what is kept free for bytes that have not arrived. */
  release(): void {
    const bytes = this.bytes - this.reservedBytes;
    this.reservedBytes = 0;
    this.set(bytes);
  }

  /** Nothing is expected of the other side. */
  expectNothing(): void {
    this.progressBy = Infinity;
  }

  /** Frees the bytes; may be called again. */
  close(): void {
    if (!this.isOpen) return;
    this.owner.close(this);
    this.isOpen = false;
  }

  /** Frees the bytes, and tells their user that they are given up. */
  giveWay(reason: string): void {
    this.close();
    this.options.onGiveWay(reason);
  }
}
