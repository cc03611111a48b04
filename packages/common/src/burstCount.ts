/** Counts what comes in bursts, for a log that has no line for each. */

/** Reports the first of a burst at once, and all that follow within an interval together at its end. */
export class BurstCount {
  private count = 0;
  private isHeldBack = false;

  private constructor(
    private readonly intervalMs: number,
    private readonly onCount: (count: number) => void,
  ) {}

  /** The interval is in milliseconds. */
  static create(
    intervalMs: number,
    onCount: (count: number) => void,
  ): BurstCount {
    return new BurstCount(intervalMs, onCount);
  }

  /** Counts some more. */
  add(count: number): void {
    this.count += count;
    if (!this.isHeldBack) this.report();
  }

  private report(): void {
    this.onCount(this.count);
    this.count = 0;
    this.isHeldBack = true;
    setTimeout(() => {
      this.isHeldBack = false;
      if (this.count > 0) this.report();
    }, this.intervalMs).unref();
  }
}
