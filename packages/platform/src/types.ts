/** Interfaces of the platform's key-value service. */

import type { Timestamp } from "@cardamomglade/common";

/** Kinds of calls. They are counted separately, and reads and writes can have a budget each. */
export enum CallKind {
  Read = "read",
  Write = "write",
  Lease = "lease",
  Watch = "watch",
}

/** Key, value, revisions and lease of an entry. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** Why a call did not return a valid answer. */
export interface CallFailure {
  readonly type:
    | "timeout"
    | "connection"
    | "status"
    | "unavailable"
    | "malformed"
    | "budget"
    | "circuitOpen"
    /** The store came back from a copy during the call. */
    | "restored";
  readonly message: string;
}

/**
 * Outcome of a call. `refused` guarantees that the call had no effect; after
 * `unknown` the caller has to read the state back.
 */
export type Outcome<T> =
  | { readonly type: "done"; readonly value: T }
  | { readonly type: "refused"; readonly failure: CallFailure }
  | { readonly type: "unknown"; readonly failure: CallFailure };

/** A comparison of a transaction. */
export type Compare =
  | {
      readonly type: "modRevision";
      readonly key: string;
      readonly revision: number;
    }
  | {
      readonly type: "createRevision";
      readonly key: string;
      readonly revision: number;
    }
  | { readonly type: "value"; readonly key: string; readonly value: string };

/** An operation of a transaction. */
export type Operation =
  | {
      readonly type: "put";
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    }
  | { readonly type: "delete"; readonly key: string }
  | { readonly type: "read"; readonly key: string };

/** A transaction: runs `success` if all comparisons hold, otherwise `failure`. */
export interface Transaction {
  readonly compare: readonly Compare[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

/** Result of a transaction; `reads` holds one list of entries per read operation. */
export interface TransactionResult {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly reads: readonly (readonly KeyValueEntry[])[];
}

/**
 * A point in the history of a store. The era rises each time the store comes back
 * from a copy: revisions go back then and are given out again, so they can be
 * compared only within one era.
 */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** Entries of a range at a position. */
export interface RangeResult extends StorePosition {
  readonly entries: readonly KeyValueEntry[];
}

/** A granted lease. */
export interface LeaseGrant {
  readonly id: string;
  readonly ttlMs: number;
}

/** A change that a watch reports. */
export type WatchChange =
  | { readonly type: "put"; readonly entry: KeyValueEntry }
  | {
      readonly type: "delete";
      readonly key: string;
      readonly modRevision: number;
    };

/** All changes up to a position. */
export interface WatchedChanges extends StorePosition {
  readonly type: "changes";
  readonly changes: readonly WatchChange[];
}

/** Event of a watch. After any but `changes` the watch has ended. */
export type WatchEvent =
  | WatchedChanges
  /** The store came back from a copy; the entries have to be listed. */
  | { readonly type: "restored"; readonly era: number }
  | { readonly type: "compacted"; readonly compactRevision: number }
  | { readonly type: "lost"; readonly failure: CallFailure };

/** What a watch reports. */
export interface WatchOptions {
  readonly prefix: boolean;
  /** The position after which changes are reported. */
  readonly after: StorePosition;
  /** Whether the service is to say at once that nothing else changed. */
  readonly isConfirmedAtOnce?: boolean;
}

/** Handle that ends a watch. */
export interface WatchHandle {
  close(): void;
}

/** Number of calls made so far, by kind. */
export type CallCounts = Readonly<Record<CallKind, number>>;

/** Client of the platform's key-value service. Every call ends by its deadline. */
export interface KeyValue {
  range(
    key: string,
    options: { readonly prefix: boolean; readonly deadline: Timestamp },
  ): Promise<Outcome<RangeResult>>;
  transact(
    transaction: Transaction,
    deadline: Timestamp,
  ): Promise<Outcome<TransactionResult>>;
  grantLease(ttlMs: number, deadline: Timestamp): Promise<Outcome<LeaseGrant>>;
  keepLeaseAlive(id: string, deadline: Timestamp): Promise<Outcome<LeaseGrant>>;
  revokeLease(id: string, deadline: Timestamp): Promise<Outcome<void>>;
  watch(
    key: string,
    options: WatchOptions,
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle;
  callCounts(): CallCounts;
  close(): Promise<void>;
}
