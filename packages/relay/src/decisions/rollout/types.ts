/** Types of roll-outs: orders to move a service to another version of its software. */

import type { Timestamp } from "@cardamomglade/common";

/** Limits of what a version may get before it is trusted. */
export interface RolloutLimits {
  /** Part of a service's requests that the new version may get between order and deadline. */
  readonly exposureShare: number;
  /** Additional requests that it may get. */
  readonly exposureSlack: number;
  /** Time from a failed roll-out's last tolerated answer to the last request to the version. */
  readonly rollbackTimeoutMs: number;
}

/** How far a roll-out is; kept in the store. */
export enum RolloutPhase {
  /** The new version gets a small share of the requests. */
  Exposing = "exposing",
  /** New work goes to the new version, as far as the allowance goes. */
  Moving = "moving",
  /** All work goes to the new version. Final. */
  Completed = "completed",
  /** No work goes to the new version. Final. */
  RolledBack = "rolledBack",
}

const phases = new Set<unknown>(Object.values(RolloutPhase));

/** Whether a value of another program is a phase. */
export const isRolloutPhase = (value: unknown): value is RolloutPhase =>
  phases.has(value);

/** Order of an operator as it lies in the store. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  readonly durationMs: number;
  /** Identifies the order: a later one with the same content is another. */
  readonly id: string;
  /** Revision of the store's entry. */
  readonly revision: number;
}

/** What routers have written about an order. */
export interface StoredRollout {
  readonly service: string;
  readonly orderId: string;
  readonly version: string;
  readonly phase: RolloutPhase;
  /** Whether replicas of other versions served when the order came. */
  readonly hasOldVersion: boolean;
  /** Versions of earlier orders that were not completed. */
  readonly mistrusted: readonly string[];
  /** Revision of the store's entry. */
  readonly revision: number;
}

/** What is written about an order, if neither the entry nor the order has changed. */
export interface RolloutWrite extends Omit<StoredRollout, "revision"> {
  /** Revision of the entry that it replaces; 0 if there is none. */
  readonly replaces: number;
  /** Revision of the order; 0 if it was withdrawn. */
  readonly orderRevision: number;
}

/** To which version a request may be sent. */
export enum RolloutAim {
  Old = "old",
  New = "new",
  /** It was sent to the new version. */
  NewSent = "newSent",
}

/** Why a request goes to the new version, or does not. */
export enum RolloutReason {
  WithinShare = "within the share",
  Completed = "completed",
  NotBegun = "no phase is written yet",
  Stopped = "the new version is stopped",
  StoreSilent = "the store is silent",
  ShareSpent = "the share is spent",
  Repeat = "a repeat",
  NoReplica = "no replica of the new version is open",
}

/** Answers of the old and of the new version on one route. */
export interface VersionCounts {
  oldAnswers: number;
  oldFailed: number;
  /** Those of its answers that did not fail and were slow. */
  oldSlow: number;
  newAnswers: number;
  newFailed: number;
  newSlow: number;
}

/** How an answer is bad. */
export enum BadAnswer {
  Failed = "failed",
  Slow = "slow",
}

/** Counts of one router since the order, as routers tell them each other. */
export interface RolloutReport {
  readonly service: string;
  readonly orderId: string;
  /** Router and start of its process. */
  readonly source: string;
  /** Time since the router knows of the order. */
  readonly ageMs: number;
  /** Requests that it sent to the service. */
  readonly firstSent: number;
  /** Requests of them, and repeats, that it sent to the new version. */
  readonly exposed: number;
  /** Its requests at work at old replicas. */
  readonly oldInFlight: number;
  /** Phase that the store has shown or confirmed; undefined before the first. */
  readonly phase: RolloutPhase | undefined;
  /** Why the version is bad; undefined if the router does not know of a fault. */
  readonly fault: string | undefined;
  /** By route. */
  readonly counts: ReadonlyMap<string, Readonly<VersionCounts>>;
}

/** Another router's latest report. */
export interface HeardReport {
  readonly report: RolloutReport;
  readonly heardAt: Timestamp;
}

/** Totals that a test compares. */
export interface TestCounts {
  readonly oldAnswers: number;
  readonly oldBad: number;
  readonly newAnswers: number;
  readonly newBad: number;
}

/** Sequential test of the new version on one route, for one way in which answers are bad. */
export interface VersionTest {
  /** Evidence that the new version is bad, as a log likelihood ratio; at least 0. */
  evidence: number;
  /** Recent answers of the old version; they lose weight with time. */
  oldAnswers: number;
  oldBad: number;
  countedAt: Timestamp;
  /** Totals that are in the test already. */
  seen: TestCounts;
  /** Bad answers of the new version beyond those that the old one would have given. */
  excessBad: number;
}

/** Times of the old version's latest answers on one route, in milliseconds, the oldest first. */
export type LatestTimes = number[];

/** One service's roll-out as this router knows it. */
export interface Rollout {
  readonly order: RolloutOrder;
  /** Earliest time at which a router knew of the order. */
  startedAt: Timestamp;
  /** Earliest time at which the order may have been written: this router's watch rested before it read it. */
  writtenFrom: Timestamp;
  /** Undefined before a router has written one. */
  phase: RolloutPhase | undefined;
  /** Time at which this router learned of the phase. */
  phaseAt: Timestamp;
  /** Phase in the store's entry; undefined if that is of no order or another one. */
  storedPhase: RolloutPhase | undefined;
  /** Revision of the store's entry of the service; 0 if there is none. */
  entryRevision: number;
  /** Time at which this router learned that entry by a write of its own; the watch may show earlier ones for a while. */
  ownWriteAt: Timestamp;
  /** Time at which the order was found missing in the store. */
  withdrawnAt: Timestamp | undefined;
  /** Why the version is bad; undefined while nothing says so. */
  fault: string | undefined;
  /** Time until which the fault is told to other routers. */
  faultToldUntil: Timestamp;
  /** Whether replicas of other versions have served since the order. */
  hasOldVersion: boolean;
  /** Versions of earlier orders that were not completed, the oldest first; they get nothing. */
  readonly mistrusted: Set<string>;
  /** Requests to the new version that this router may send ahead of its share. */
  readonly initialCredit: number;
  /** Requests that this router has sent to the service since the order. */
  firstSent: number;
  /** Requests of them, and repeats, that went to the new version. */
  exposed: number;
  /** Answers to this router, by route. */
  readonly own: Map<string, VersionCounts>;
  /** By source. */
  readonly others: Map<string, HeardReport>;
  /** By way and route; the empty name stands for all of them. */
  readonly tests: Map<string, VersionTest>;
  /** By route. */
  readonly oldTimes: Map<string, LatestTimes>;
  /** Time of the latest broken answer of each replica's process. */
  readonly brokenAt: Map<string, Timestamp>;
  nextReportAt: Timestamp;
  nextTestAt: Timestamp;
  /** From then on this router writes the phase that is due; undefined while none is. */
  writeAt: Timestamp | undefined;
}

/** What is known about roll-outs. */
export interface RolloutState {
  /** By service. */
  readonly services: Map<string, Rollout>;
  /** Orders for which there is no room, by service. */
  readonly passedOver: Map<string, RolloutOrder>;
  completedCount: number;
  rolledBackCount: number;
}
