/** Bounded cache of prompt prefix blocks, least recently used out first. */

import { CacheEventType, type CacheEvent } from "@cardamomglade/schema";

const keptEvents = 4096;

/** The cache and its events. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly events: (CacheEvent & { at: number })[] = [];
  private sequence = 0;

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Stores blocks; returns how many were missing. */
  store(blocks: readonly string[]): number {
    let missing = 0;
    for (const block of blocks) {
      if (!this.blocks.delete(block)) {
        missing += 1;
        this.report(CacheEventType.Stored, block);
      }
      this.blocks.add(block);
    }
    this.evict();
    return missing;
  }

  /** Events from a sequence number on that are at least `lagMs` old. */
  since(sequence: number, lagMs: number): CacheEvent[] {
    const newest = Date.now() - lagMs;
    return this.events
      .filter((event) => event.sequence >= sequence && event.at <= newest)
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
      this.report(CacheEventType.Evicted, block);
    }
  }

  private report(type: CacheEventType, block: string): void {
    this.events.push({ sequence: this.sequence, type, block, at: Date.now() });
    this.sequence += 1;
    if (this.events.length > keptEvents) this.events.shift();
  }
}
