/** Types for the ledger of non-repeatable calls. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  CallRecord,
  RecordedAnswer,
  ReleasedCall,
  WhileStoreDown,
} from "@cardamomglade/schema";
import type { HeldLease } from "../lease/index.js";

/** A call that may run at most once. */
export interface ClaimRequest {
  readonly requestId: string;
  /** Idempotency key, scoped by customer and service. */
  readonly key: string;
  /** Hash of method, path and body. */
  readonly bodyHash: string;
  /** Router that will make the call. */
  readonly origin: string;
  readonly deadline: Timestamp;
}

/** The current record of a key. */
export type CurrentRecord = Exclude<CallRecord, ReleasedCall>;

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly type: "run" }
  | { readonly type: "repeat"; readonly answer: RecordedAnswer }
  | { readonly type: "conflict" }
  | { readonly type: "unknown" }
  | { readonly type: "notRun" }
  /** This router does not hold the shard; the claim has to be sent to another one. */
  | { readonly type: "moved" };

/** How a claimed call ended at its origin; `notSent` is proof that it did not run. */
export type CallEnd =
  | { readonly type: "answered"; readonly answer: RecordedAnswer }
  | { readonly type: "notSent" }
  | { readonly type: "unknown" };

/** Metadata of a batch: records stored under one key of the key-value service. */
export interface StoredBatch {
  readonly name: string;
  readonly bytes: number;
  /** Time at which the last record in the batch expires. */
  readonly expiresAt: Timestamp;
}

/** A batch read from the key-value service. */
export interface ReadBatch {
  readonly name: string;
  readonly bytes: number;
  readonly records: readonly CallRecord[];
}

/** In-memory state of one key at the shard's holder. */
export interface ShardEntry {
  record: CurrentRecord;
  /** Latest record written to the key-value service; `batch` is the batch that contains it. */
  committed: CurrentRecord | undefined;
  batch: string | undefined;
  /** The claim in flight at this holder. */
  request: ClaimRequest | undefined;
  /** Whether the claim was answered with `notRun` before it was committed. */
  isAbandoned: boolean;
  /** Whether the origin reported that the outcome of the call is unknown. */
  isOutcomeUnknown: boolean;
  /** Claims that wait for the outcome of the call. */
  waiters: ClaimRequest[];
}

/** A commit in flight; it is retried unchanged until its outcome is known. */
export interface ShardCommit {
  readonly batch: string;
  readonly records: readonly CallRecord[];
  readonly bytes: number;
  /** Compaction of older batches in the same transaction. */
  readonly compaction: Compaction | undefined;
  /** Names of expired and compacted batches to delete. */
  readonly deletes: readonly string[];
  isSent: boolean;
  tryAt: Timestamp;
}

/** Compaction: records of several batches rewritten into one, under the name of the last. */
export interface Compaction {
  readonly name: string;
  readonly bytes: number;
  readonly expiresAt: Timestamp;
  readonly records: readonly CallRecord[];
}

/** Limits of a shard. */
export interface ShardLimits {
  readonly commitIntervalMs: number;
  readonly keyLifetimeMs: number;
  readonly maxBytes: number;
  /** Whether new claims wait or are refused while commits fail. */
  readonly whileStoreDown: WhileStoreDown;
}

/** In-memory state of a shard at its holder; mutated in place by `decideShard`. */
export interface ShardState {
  readonly shard: number;
  readonly limits: ShardLimits;
  lease: HeldLease;
  isLoaded: boolean;
  /** Time of the next read; undefined while one is in flight. */
  readAt: Timestamp | undefined;
  failures: number;
  readonly entries: Map<string, ShardEntry>;
  /** Release records that must be kept as long as an older batch contains the claim of the key. */
  readonly released: Map<string, CallRecord>;
  readonly batches: StoredBatch[];
  readonly pending: CallRecord[];
  /** Claims that arrived before the shard was loaded. */
  readonly claimsBeforeLoad: ClaimRequest[];
  /** Keys with a claim that has not been answered yet. */
  readonly keysAwaitingAnswer: Set<string>;
  /** Origins that get a confirmation once the end of their call is committed, by request ID. */
  readonly originsOfEndedCalls: Map<string, string>;
  /** Whether this holder's term has ended. */
  isTermOver: boolean;
  commit: ShardCommit | undefined;
  sequence: number;
  earliestCommitAt: Timestamp;
  wakeAt: Timestamp;
  bytes: number;
}

/** Events of a shard. */
export type ShardEvent =
  | {
      readonly type: "extended";
      readonly at: Timestamp;
      readonly lease: HeldLease;
    }
  | {
      readonly type: "read";
      readonly at: Timestamp;
      readonly batches: readonly ReadBatch[];
    }
  | { readonly type: "readFailed"; readonly at: Timestamp }
  | {
      readonly type: "claimReceived";
      readonly at: Timestamp;
      readonly request: ClaimRequest;
    }
  | {
      readonly type: "callEnded";
      readonly at: Timestamp;
      readonly key: string;
      readonly requestId: string;
      readonly origin: string;
      readonly end: CallEnd;
    }
  | {
      readonly type: "commitAnswered";
      readonly at: Timestamp;
      readonly batch: string;
      /** `superseded` is proof that this term has ended and nothing was written. */
      readonly outcome: "committed" | "superseded" | "unknown";
    }
  | { readonly type: "ended"; readonly at: Timestamp }
  | { readonly type: "timerTicked"; readonly at: Timestamp };

/** Commands that a shard emits. */
export type ShardCommand =
  | { readonly type: "readShard" }
  | {
      readonly type: "commit";
      readonly fencing: number;
      readonly commit: ShardCommit;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "answerClaim";
      readonly requestId: string;
      readonly origin: string;
      readonly outcome: ClaimOutcome;
    }
  | {
      /** The end of a call is committed; its origin may discard it. */
      readonly type: "confirmEnd";
      readonly requestId: string;
      readonly origin: string;
    }
  | { readonly type: "wake"; readonly at: Timestamp };
