/** Types of the quarantine of prompt blocks and requests under which replicas end. */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../../types.js";

/** Possible causes by the fingerprint of a request that a replica was answering. */
export type CrashSuspects = Map<string, readonly string[]>;

/** Connections to a replica broke; it is not known yet whether its process ended. */
export interface UnconfirmedCrash {
  readonly replica: Replica;
  readonly lostAt: Timestamp;
  readonly suspects: CrashSuspects;
  /** Fingerprints of the suspects whose answer was not established. */
  readonly unestablished: Set<string>;
  /** Whether its engine was asked for a report; any other replica is only connected to. */
  readonly isReportAwaited: boolean;
  /** Whether its address refused a connection: it has ended, or this router has no path to it. */
  isRefused: boolean;
}

/** The end of one replica's process while it was answering requests. */
export interface EngineCrash {
  readonly process: string;
  readonly at: Timestamp;
  readonly suspects: CrashSuspects;
}

/** Crashes at one moment; several engines lost together are one failure. */
export interface Episode {
  readonly startedAt: Timestamp;
  readonly crashes: EngineCrash[];
}

/** Causes whose requests, if they have all of them, are not sent to replicas. */
export interface Quarantine {
  readonly key: string;
  /** Ids of prompt blocks, or the one of a request as a whole. */
  readonly blockIds: readonly string[];
  /** Time of the latest crash that supports it. */
  crashedAt: Timestamp;
  /** From then on, one request at a time may show whether engines still end. */
  heldUntil: Timestamp;
  /** Number of times that the cause was found or confirmed; the hold grows with it. */
  holdCount: number;
  crashCount: number;
  readonly learnedAt: Timestamp;
  /** Router that found the cause, or the store. */
  readonly source: string;
  /** Key of this router's request that shows whether engines still end. */
  trialKey: string | undefined;
  /** Whether the store has an entry of it. */
  isStored: boolean;
  nextWriteAt: Timestamp;
}

/** The store's entry of a quarantine in force. */
export interface HeldQuarantine {
  readonly type: "held";
  readonly blockIds: readonly string[];
  readonly holdCount: number;
  readonly crashCount: number;
}

/** The store's entry of a quarantine that ended; a missing entry may only be lost. */
export interface ReleasedQuarantine {
  readonly type: "released";
  readonly blockIds: readonly string[];
  /** Blocks that are known to be harmless; none if another quarantine replaced this one. */
  readonly succeededBlockIds: readonly string[];
}

/** A quarantine as the store keeps it. */
export type StoredQuarantine = HeldQuarantine | ReleasedQuarantine;

/** The store's entries as last read. */
export interface StoredQuarantines {
  readonly era: number;
  readonly byKey: ReadonlyMap<string, StoredQuarantine>;
}

/** A quarantine that ended here. */
export interface Release {
  readonly at: Timestamp;
  readonly entry: ReleasedQuarantine;
  /** From then on, it is written if the store shows the quarantine; Infinity if another router does so. */
  nextWriteAt: Timestamp;
}

/** What is known about prompts and requests under which replicas end. */
export interface QuarantineState {
  /** By process. */
  readonly unconfirmed: Map<string, UnconfirmedCrash>;
  /** By process. */
  readonly crashes: Map<string, EngineCrash>;
  /** Latest time at which an engine began to answer with a block and went on. */
  readonly succeededAt: Map<string, Timestamp>;
  readonly inForce: Map<string, Quarantine>;
  /** By key; the store may show their entries a little longer, or again after it came back from a copy. */
  readonly releases: Map<string, Release>;
  /** Undefined before the first read. */
  stored: StoredQuarantines | undefined;
  /** Whether crashes were learned that were not weighed yet. */
  hasNewEvidence: boolean;
  nextSearchAt: Timestamp;
  refusedCount: number;
  nextMaintenanceAt: Timestamp;
}
