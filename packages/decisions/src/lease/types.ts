/** Types for leases in the key-value service. */

import type { RandomState, Timestamp } from "@cardamomglade/common";

/**
 * A lease as seen by its holder. `heldUntil` is the time at which the request
 * was sent plus the TTL, less a safety margin; no effect may start at or after it.
 */
export interface HeldLease {
  readonly role: string;
  /** Fencing token: the revision that created the holder key. It increases with every term, the time for which one router holds a role. */
  readonly fencing: number;
  readonly heldUntil: Timestamp;
}

/** Phase of acquiring and holding a lease. */
export type LeasePhase =
  | { readonly type: "idle"; readonly tryAt: Timestamp }
  | { readonly type: "granting"; readonly sentAt: Timestamp }
  | {
      readonly type: "acquiring";
      readonly leaseId: string;
      readonly heldUntil: Timestamp;
      /** Time at which the call in flight that creates the holder key was sent; undefined while none is in flight. */
      readonly sentAt: Timestamp | undefined;
      readonly tryAt: Timestamp;
    }
  | {
      readonly type: "held";
      readonly leaseId: string;
      readonly fencing: number;
      readonly heldUntil: Timestamp;
      /** Time at which the renewal in flight was sent; undefined while none is in flight. */
      readonly sentAt: Timestamp | undefined;
      readonly renewAt: Timestamp;
    };

/** State of one router's lease for one role. */
export interface LeaseState {
  readonly role: string;
  /** Value of the holder key: the name of this router. */
  readonly holder: string;
  readonly ttlMs: number;
  readonly isWanted: boolean;
  readonly failures: number;
  readonly generator: RandomState;
  readonly phase: LeasePhase;
}

/** Metadata of the holder key as read from the key-value service. */
export interface FoundHolder {
  readonly leaseId: string;
  readonly createRevision: number;
}

/** Events of a lease; `sentAt` identifies the call that an answer belongs to. */
export type LeaseEvent =
  | {
      readonly type: "wanted";
      readonly at: Timestamp;
      readonly tryAt: Timestamp;
    }
  | { readonly type: "unwanted"; readonly at: Timestamp }
  | {
      readonly type: "granted";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
      readonly leaseId: string;
      readonly ttlMs: number;
    }
  | {
      readonly type: "grantFailed";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
    }
  | {
      readonly type: "acquireAnswered";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
      readonly found: FoundHolder | undefined;
    }
  | {
      readonly type: "acquireFailed";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
    }
  | {
      readonly type: "renewed";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
      /** 0 where the lease no longer exists in the service. */
      readonly ttlMs: number;
    }
  | {
      readonly type: "renewFailed";
      readonly at: Timestamp;
      readonly sentAt: Timestamp;
    }
  | { readonly type: "timerTicked"; readonly at: Timestamp };

/** A request to the key-value service. */
export type LeaseCall =
  | {
      readonly type: "grant";
      readonly sentAt: Timestamp;
      readonly ttlMs: number;
      readonly deadline: Timestamp;
    }
  | {
      /** Creates the holder key if it does not exist, then reads it. */
      readonly type: "acquire";
      readonly sentAt: Timestamp;
      readonly leaseId: string;
      readonly holder: string;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "renew";
      readonly sentAt: Timestamp;
      readonly leaseId: string;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "revoke";
      readonly leaseId: string;
      readonly deadline: Timestamp;
    };

/** Commands that a lease emits. */
export type LeaseCommand =
  | { readonly type: "call"; readonly call: LeaseCall }
  | { readonly type: "acquired"; readonly lease: HeldLease }
  | { readonly type: "extended"; readonly lease: HeldLease }
  | { readonly type: "lost" };
