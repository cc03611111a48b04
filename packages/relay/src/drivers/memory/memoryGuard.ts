/**
 * Collects garbage before the process reaches its machine's memory: V8 lets some ten MB of
 * unused buffers, and a heap of the size of its limit, pass before it collects them.
 */

import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { now, residentBytes } from "@cardamomglade/common";

/** V8's function that collects garbage. */
type Collect = (options?: { readonly type: "minor" }) => void;

const checkEveryBytes = 4 * 1024 * 1024; // of bodies and answers that arrived
const garbageRatio = 0.25; // of the budget, in buffers that nothing holds any more
const residentRatio = 0.8; // of the machine's memory
const bytesPerMb = 1_000_000;
const minFullIntervalMs = 100; // unless more arrives in it than may be garbage

/** Returns V8's function; the flag is taken back, since the code cache depends on flags. */
const findCollect = (): Collect => {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as Collect;
  setFlagsFromString("--no-expose-gc");
  return collect;
};

/** Watches the memory of the process while bytes arrive. */
export class MemoryGuard {
  private maxBufferBytes = Infinity;
  private maxResidentBytes = Infinity;
  private maxGarbageBytes = Infinity;
  private arrivedBytes = 0;
  /** Bytes that arrived since the last full collection. */
  private uncollectedBytes = 0;
  private nextFullAt = 0;
  private collect: Collect | undefined;

  private constructor() {
    // Created by `create`.
  }

  static create(): MemoryGuard {
    return new MemoryGuard();
  }

  /** Sets the machine's memory and how much of it requests and answers may take. */
  applyLimit(memoryMb: number | undefined, budgetBytes: number): void {
    this.maxGarbageBytes = budgetBytes * garbageRatio;
    this.maxBufferBytes = budgetBytes + this.maxGarbageBytes;
    this.maxResidentBytes =
      memoryMb === undefined ? Infinity : memoryMb * bytesPerMb * residentRatio;
  }

  /** Notes that bytes arrived; collects garbage if too much is left of those before. */
  note(bytes: number): void {
    this.arrivedBytes += bytes;
    if (this.arrivedBytes < checkEveryBytes) return;
    this.uncollectedBytes += this.arrivedBytes;
    this.arrivedBytes = 0;
    if (!this.isOverfull()) return;
    this.collect ??= findCollect();
    this.collect({ type: "minor" });
    if (!this.isFullDue() || !this.isOverfull()) return;
    this.collect();
    this.nextFullAt = now() + minFullIntervalMs;
    this.uncollectedBytes = 0;
  }

  private isFullDue(): boolean {
    return (
      now() >= this.nextFullAt || this.uncollectedBytes >= this.maxGarbageBytes
    );
  }

  private isOverfull(): boolean {
    return (
      getHeapStatistics().external_memory > this.maxBufferBytes ||
      residentBytes() > this.maxResidentBytes
    );
  }
}

/** Watches the memory of this process. */
export const memoryGuard = MemoryGuard.create();
