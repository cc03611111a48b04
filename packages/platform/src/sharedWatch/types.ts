/** Types of watches that routers share. */
import type { StorePosition, WatchChange } from "../types.js";

/** A router as registered in the store. */
export interface SharingRouter {
  readonly router: string;
  /** Undefined if the entry names no availability zone. */
  readonly zone: string | undefined;
  /** Undefined if other routers cannot connect to it. */
  readonly address: RouterAddress | undefined;
}

/** Host and port on which a router accepts connections of other routers. */
export interface RouterAddress {
  readonly host: string;
  readonly port: number;
}

/** Where a router watches the store's entries. */
export type WatchSource =
  | { readonly type: "store" }
  | {
      readonly type: "router";
      readonly router: string;
      readonly address: RouterAddress;
    };

/** A change sent to a follower; a long value is left out and read from the store instead. */
export type SharedChange =
  | WatchChange
  | {
      readonly type: "putWithoutValue";
      readonly key: string;
      readonly modRevision: number;
    };

/** Number of answers in one range of times. */
export interface SharedBucket {
  readonly bucket: number;
  readonly count: number;
}

/** Answers to one class of work by the range of their times. */
export interface SharedTimes {
  readonly timeClass: string;
  readonly buckets: readonly SharedBucket[];
}

/** Outcomes of requests at a replica, as one router tells others. */
export interface SharedOutcomes {
  readonly replica: string;
  readonly succeeded: number;
  readonly failed: number;
  /** None from routers of versions that tell no times. */
  readonly times: readonly SharedTimes[];
}

/** Message from a follower to its watching router. */
export type FollowerMessage =
  { readonly type: "follow"; readonly after: StorePosition } | OutcomesMessage;

/** Outcomes since the last message of this type on the connection. */
export interface OutcomesMessage {
  readonly type: "outcomes";
  readonly outcomes: readonly SharedOutcomes[];
}

/** Message from a watching router to a follower. */
export type SharedMessage =
  | OutcomesMessage
  | ChangesMessage
  /** The history does not lead on from the follower's position; it has to list the entries. */
  | { readonly type: "compacted" }
  /** The watching router is in an earlier era of the store than the follower. */
  | { readonly type: "behind" };

/** All changes up to a position of the store. */
export interface ChangesMessage extends StorePosition {
  readonly type: "changes";
  /** Time since the store last confirmed that nothing else changed. */
  readonly ageMs: number;
  readonly changes: readonly SharedChange[];
}

/** Time limits of a shared watch. */
export interface SharedWatchLimits {
  /** Interval between two messages to a follower. */
  readonly heartbeatMs: number;
  /** Age of the last confirmation at which a follower leaves its router. */
  readonly maxAgeMs: number;
}
