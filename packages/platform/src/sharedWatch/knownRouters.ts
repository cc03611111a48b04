/**
 * Routers that count. Load pattern: a restored store lacks the entries of routers
 * that run; each router would take the whole fleet's budgets until they are
 * written again, and all would watch the store at once.
 */

import type { Timestamp } from "@cardamomglade/common";
import { missingRouterRetentionMs } from "./constants.js";

interface KnownRouter<Entry> {
  readonly entry: Entry;
  /** Time until which it counts without an entry; Infinity while it has one. */
  readonly until: Timestamp;
}

/** The routers whose entries the store has, and those that it may only have lost. */
export class KnownRouters<Entry extends { readonly router: string }> {
  private era: number | undefined;
  private known = new Map<string, KnownRouter<Entry>>();

  private constructor(private readonly own: string) {}

  /** Creates an empty set; the router with the given name counts only while it has an entry. */
  static create<Entry extends { readonly router: string }>(
    own: string,
  ): KnownRouters<Entry> {
    return new KnownRouters<Entry>(own);
  }

  /** Applies the store's entries and returns the routers that count. */
  update(listed: readonly Entry[], era: number, at: Timestamp): Entry[] {
    const isRestored = this.era !== undefined && this.era !== era;
    const retainedUntil = isRestored
      ? at + missingRouterRetentionMs
      : -Infinity;
    const before = this.known;
    this.era = era;
    this.known = new Map(
      listed.map((entry) => [entry.router, { entry, until: Infinity }]),
    );
    for (const [name, { entry, until }] of before) {
      if (this.known.has(name) || name === this.own) continue;
      const end = until === Infinity ? retainedUntil : until;
      if (end > at) this.known.set(name, { entry, until: end });
    }
    return [...this.known.values()].map((one) => one.entry);
  }
}
