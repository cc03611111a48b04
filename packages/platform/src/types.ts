/** Interfaces of the platform's services. */

import type { Timestamp } from "@cardamomglade/common";

/** Kinds of calls, for counting and budgets. */
export enum CallKind {
  Read = "read",
  Write = "write",
  Lease = "lease",
  Watch = "watch",
}

/** One key's value and its revisions. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** Why a call did not end in an answer. */
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
 * Outcome of a call with an effect. `refused` is proof that it had no effect;
 * after `unknown` the caller has to read back.
 */
export type Outcome<T> =
  | { readonly type: "done"; readonly value: T }
  | { readonly type: "refused"; readonly failure: CallFailure }
  | { readonly type: "unknown"; readonly failure: CallFailure };

/** A condition of a transaction. */
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

/** A transaction: all comparisons hold, then `success`, else `failure`. */
export interface Transaction {
  readonly compare: readonly Compare[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

/** Result of a transaction; `reads` holds one entry list per read operation. */
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

/** A change seen by a watch. */
export type WatchChange =
  | { readonly type: "put"; readonly entry: KeyValueEntry }
  | {
      readonly type: "delete";
      readonly key: string;
      readonly modRevision: number;
    };

/** What a watch reports; after `lost` or `compacted` it has ended. */
export type WatchEvent =
  | {
      readonly type: "changes";
      readonly revision: number;
      readonly changes: readonly WatchChange[];
    }
  | { readonly type: "compacted"; readonly compactRevision: number }
  | { readonly type: "lost"; readonly failure: CallFailure };

/** A watch that can be ended. */
export interface WatchHandle {
  close(): void;
}

/** Calls made so far, by kind. */
export type CallCounts = Readonly<Record<CallKind, number>>;

/** The platform's key-value service. Every call ends by its deadline. */
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
  counts(): CallCounts;
  close(): Promise<void>;
}
