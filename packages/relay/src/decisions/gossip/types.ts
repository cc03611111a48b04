/** Types of what routers tell each other about replicas and prompts. */

import type { Timestamp } from "@cardamomglade/common";

/** One suspect of a replica's end: a request that it was answering. */
export interface EngineCrashItem {
  readonly type: "engineCrash";
  /** The id and the start time of the replica. */
  readonly process: string;
  readonly at: Timestamp;
  /** Fingerprint of the request. */
  readonly request: string;
  /** Possible causes in the request. */
  readonly blockIds: readonly string[];
}

/** Prompt blocks with which an engine began to answer and went on. */
export interface SucceededBlocksItem {
  readonly type: "succeededBlocks";
  readonly at: Timestamp;
  readonly blockIds: readonly string[];
}

/** Prompt blocks in quarantine. */
export interface QuarantineItem {
  readonly type: "quarantine";
  readonly blockIds: readonly string[];
  /** Time of the latest engine crash that supports the quarantine. */
  readonly crashedAt: Timestamp;
  readonly heldUntil: Timestamp;
  readonly holdCount: number;
  readonly crashCount: number;
  /** Router that found the cause. */
  readonly source: string;
}

/** What a replica's answer says about its limit of requests. */
export interface RequestLimitItem {
  readonly type: "requestLimit";
  readonly replica: string;
  /** Start time of the replica's process, by its own clock. */
  readonly startedAt: Timestamp;
  /** Requests a second; undefined if the answer names no limit. */
  readonly perS: number | undefined;
  readonly at: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
}

/** What a replica's answer says about its end. */
export interface ReplicaLeavingItem {
  readonly type: "replicaLeaving";
  readonly replica: string;
  /** Start time of the replica's process, by its own clock. */
  readonly startedAt: Timestamp;
  readonly at: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
}

/** A software version that a service had lately, while it has several. */
export interface SoftwareVersionItem {
  readonly type: "softwareVersion";
  readonly service: string;
  readonly version: string;
  /** Latest time at which a replica had it. */
  readonly at: Timestamp;
}

/** One item of gossip; the same item may arrive any number of times. */
export type GossipItem =
  | EngineCrashItem
  | SucceededBlocksItem
  | QuarantineItem
  | RequestLimitItem
  | ReplicaLeavingItem
  | SoftwareVersionItem;

/** All items that a router could tell others. */
export interface CurrentItems {
  /** Told in each exchange. */
  readonly conclusions: readonly GossipItem[];
  /** Told in parts, one after the other. */
  readonly evidence: readonly GossipItem[];
}

/** What this router still has to tell others. */
export interface GossipState {
  /** Items that are new here, each sent on to some routers once. */
  fresh: GossipItem[];
  /** Number of new items that may be sent on now, and the time of that number. */
  freshAllowance: number;
  freshAllowanceAt: Timestamp;
  /** Time at which all current items are next sent to one router. */
  nextExchangeAt: Timestamp;
  /** Position in the evidence at which the next exchange starts. */
  exchangeOffset: number;
}
