/** Types of replicas that are used before their store entries can be read. */

import type { Timestamp } from "@cardamomglade/common";
import type { Address, EngineReport, Replica } from "../../types.js";

/** A process that one router found at the address of a replica that ended. */
export interface ReturnedReplica extends Address {
  readonly id: string;
  /** Start time of the process, by its own clock. */
  readonly startedAt: Timestamp;
  /** Time at which it was last seen, at whichever router. */
  readonly seenAt: Timestamp;
}

/** What a process at a replica's address says of itself. */
export interface ProcessAnswer {
  readonly report: EngineReport | undefined;
  /** Id that it names in answer to a health check; undefined if it was not asked, or is not healthy. */
  readonly id: string | undefined;
  readonly isLeaving: boolean;
}

/** Questions to an address at which a replica ended. */
export interface AddressSearch {
  nextProbeAt: Timestamp;
  /** Time from which the process there is also asked for its id; undefined before it is found. */
  askIdAt: Timestamp | undefined;
}

/** A replica that is used without an entry. */
export interface AdoptedReplica {
  readonly replica: Replica;
  /** Time of the latest question to it. */
  askedAt: Timestamp;
  /** Time of its latest report. */
  seenAt: Timestamp;
}

/** Replicas that are back while the store cannot be read. */
export interface AdoptionState {
  /** By id. */
  readonly adopted: Map<string, AdoptedReplica>;
  /** By address. */
  readonly searches: Map<string, AddressSearch>;
  /** What other routers told, by address. */
  readonly told: Map<string, ReturnedReplica>;
  /** Services that any configuration gave a model, by the model's name. */
  readonly servicesByModel: Map<string, Set<string>>;
  /** Returns to be told to other routers. */
  news: ReturnedReplica[];
  /** Questions that may be sent now, and the time of that number. */
  probeAllowance: number;
  probeAllowanceAt: Timestamp;
  adoptedCount: number;
  undoneCount: number;
}
