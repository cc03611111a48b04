/** Types of what the store shows, and of its outages. */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica, Address } from "../../types.js";

/** Availability of the store. */
export type StoreState =
  | { readonly type: "unknown" }
  | {
      readonly type: "available";
      /** End of the last outage; -Infinity if there was none. */
      readonly since: Timestamp;
    }
  | { readonly type: "unavailable"; readonly since: Timestamp };

/** Returns of the store from a copy. */
export interface Restorations {
  count: number;
  latestAt: Timestamp;
  /** Era of the store since then; undefined before the first. */
  era: number | undefined;
}

/** A replica's process whose answer said that it leaves. */
export interface LeavingProcess {
  readonly replica: string;
  readonly startedAt: Timestamp;
  /** Time of the first such answer, at whichever router. */
  readonly announcedAt: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
}

/** The last report of a replica's process that left. */
export interface DepartedReplica {
  readonly leftAt: Timestamp;
  readonly reportNumber: number;
}

/** A replica that left, as a restored store shows it. */
export interface OutdatedReplica {
  readonly replica: Replica;
  /** An entry that is there then is current: the replicas have written theirs again. */
  readonly until: Timestamp;
}

/** A router's registration in the store. */
export interface RouterEntry {
  readonly router: string;
  readonly lease: string;
  /** Undefined if the entry has no address. */
  readonly address: Address | undefined;
  /** Undefined if the entry names no availability zone. */
  readonly zone: string | undefined;
}

/** The routers that share the fleet-wide retry budget, and this router's own entry. */
export interface Registration {
  /** Registered routers, by name. */
  routers: ReadonlyMap<string, RouterEntry>;
  /** Lease of this router's entry; undefined if it has no entry. */
  lease: string | undefined;
  /** Time at which this router's entry is next written or renewed. */
  nextWriteAt: Timestamp;
}
