/** Types of the ledger of non-repeatable calls. */

import type { Moment } from "@cardamomglade/common";
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
  /** Key scoped by customer and service. */
  readonly key: string;
  /** Hash of method, path and body. */
  readonly bodyHash: string;
  /** Router that will make the call. */
  readonly origin: string;
  readonly deadline: Moment;
}

/** A record that stands for a key. */
export type StandingRecord = Exclude<CallRecord, ReleasedCall>;

/** What the claim led to. */
export type ClaimOutcome =
  | { readonly type: "run" }
  | { readonly type: "repeat"; readonly answer: RecordedAnswer }
  | { readonly type: "conflict" }
  | { readonly type: "unknown" }
  | { readonly type: "notRun" }
  /** This router does not hold the shard; another one has to be asked. */
  | { readonly type: "moved" };

/** How a claimed call ended at its origin; `notSent` is proof. */
export type CallEnd =
  | { readonly type: "answered"; readonly answer: RecordedAnswer }
  | { readonly type: "notSent" }
  | { readonly type: "unknown" };

/** A batch of records under one key of the key-value service. */
export interface StoredBatch {
  readonly name: string;
  readonly bytes: number;
  /** Moment from which every record in it has expired. */
  readonly expiresAt: Moment;
}

/** A batch as read. */
export interface ReadBatch {
  readonly name: string;
  readonly bytes: number;
  readonly records: readonly CallRecord[];
}

/** One key in the holder's memory. */
export interface ShardEntry {
  record: StandingRecord;
  /** Latest record in the key-value service and the batch that holds it. */
  committed: StandingRecord | undefined;
  batch: string | undefined;
  /** The claim under way at this holder. */
  request: ClaimRequest | undefined;
  /** Whether the claim's caller was told that the call was not run. */
  isAbandoned: boolean;
  /** Whether the origin lost track of the call. */
  isLost: boolean;
  waiters: ClaimRequest[];
}

/** A commit under way; sent again unchanged until its outcome is known. */
export interface Commit {
  readonly batch: string;
  readonly records: readonly CallRecord[];
  readonly bytes: number;
  /** Rewrite of older batches, done in the same transaction. */
  readonly merge: Merge | undefined;
  readonly deletes: readonly string[];
  isSent: boolean;
  tryAt: Moment;
}

/** Records of several batches rewritten under the name of the last. */
export interface Merge {
  readonly name: string;
  readonly bytes: number;
  readonly expiresAt: Moment;
  readonly records: readonly CallRecord[];
}

/** Bounds of a shard. */
export interface ShardLimits {
  readonly commitIntervalMs: number;
  readonly keyLifetimeMs: number;
  readonly maxBytes: number;
  /** How claims are treated while commits fail. */
  readonly whileStoreDown: WhileStoreDown;
}

/** A shard in the memory of its holder; changed in place by its fold. */
export interface ShardState {
  readonly shard: number;
  readonly limits: ShardLimits;
  lease: HeldLease;
  isRead: boolean;
  /** Moment of the next read; undefined while one is under way. */
  readAt: Moment | undefined;
  failures: number;
  readonly entries: Map<string, ShardEntry>;
  /** Released keys whose record must outlive the claim in an older batch. */
  readonly released: Map<string, CallRecord>;
  readonly batches: StoredBatch[];
  readonly pending: CallRecord[];
  /** Claims that came before the shard was read. */
  readonly early: ClaimRequest[];
  /** Keys with a claim or a repeat that waits for an answer. */
  readonly waiting: Set<string>;
  /** Origins to tell once the end of their call is recorded, by request. */
  readonly ends: Map<string, string>;
  /** Whether the term is over. */
  isOver: boolean;
  commit: Commit | undefined;
  sequence: number;
  nextCommitAt: Moment;
  wakeAt: Moment;
  bytes: number;
}

/** What happens to a shard. */
export type ShardEvent =
  | {
      readonly type: "extended";
      readonly at: Moment;
      readonly lease: HeldLease;
    }
  | {
      readonly type: "read";
      readonly at: Moment;
      readonly batches: readonly ReadBatch[];
    }
  | { readonly type: "readFailed"; readonly at: Moment }
  | {
      readonly type: "claimAsked";
      readonly at: Moment;
      readonly request: ClaimRequest;
    }
  | {
      readonly type: "callEnded";
      readonly at: Moment;
      readonly key: string;
      readonly requestId: string;
      readonly origin: string;
      readonly end: CallEnd;
    }
  | {
      readonly type: "commitAnswered";
      readonly at: Moment;
      readonly batch: string;
      /** `superseded` is proof that this term is over and nothing was written. */
      readonly outcome: "committed" | "superseded" | "unknown";
    }
  | { readonly type: "ended"; readonly at: Moment }
  | { readonly type: "timePassed"; readonly at: Moment };

/** What a shard asks for. */
export type ShardCommand =
  | { readonly type: "readShard" }
  | {
      readonly type: "commit";
      readonly fencing: number;
      readonly commit: Commit;
      readonly deadline: Moment;
    }
  | {
      readonly type: "answerClaim";
      readonly requestId: string;
      readonly origin: string;
      readonly outcome: ClaimOutcome;
    }
  | {
      /** The end of a call is recorded; its origin may forget it. */
      readonly type: "confirmEnd";
      readonly requestId: string;
      readonly origin: string;
    }
  | { readonly type: "wake"; readonly at: Moment };
