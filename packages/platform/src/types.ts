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
    | "circuitOpen";
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

/** Entries of a range at a revision. */
export interface RangeResult {
  readonly revision: number;
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

/** Event of a watch. The watch has ended after `lost` or `compacted`. */
export type WatchEvent =
  | {
      readonly type: "changes";
      readonly revision: number;
      readonly changes: readonly WatchChange[];
    }
  | { readonly type: "compacted"; readonly compactRevision: number }
  | { readonly type: "lost"; readonly failure: CallFailure };

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
    options: { readonly prefix: boolean; readonly fromRevision: number },
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle;
  callCounts(): CallCounts;
  close(): Promise<void>;
}
