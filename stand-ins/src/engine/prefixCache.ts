/** Bounded LRU cache of prompt blocks. */

import { CacheEventType, type CacheEvent } from "@cardamomglade/schema";

const maxEventCount = 4096;

/** The cache and a log of its stored and evicted blocks. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly events: (CacheEvent & { at: number })[] = [];
  private sequence = 0;

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Stores blocks; returns how many were not cached yet. */
  store(blocks: readonly string[]): number {
    let missingCount = 0;
    for (const block of blocks) {
      if (!this.blocks.delete(block)) {
        missingCount += 1;
        this.addEvent(CacheEventType.Stored, block);
      }
      this.blocks.add(block);
    }
    this.evict();
    return missingCount;
  }

  /** Events with at least this sequence number that are at least `lagMs` old. */
  eventsSince(sequence: number, lagMs: number): CacheEvent[] {
    const latestAtMs = Date.now() - lagMs;
    return this.events
      .filter((event) => event.sequence >= sequence && event.at <= latestAtMs)
      .map(({ sequence: number, type, block }) => ({
        sequence: number,
        type,
        block,
      }));
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.capacity) return;
      this.blocks.delete(block);
      this.addEvent(CacheEventType.Evicted, block);
    }
  }

  private addEvent(type: CacheEventType, block: string): void {
    this.events.push({ sequence: this.sequence, type, block, at: Date.now() });
    this.sequence += 1;
    if (this.events.length > maxEventCount) this.events.shift();
  }
}
