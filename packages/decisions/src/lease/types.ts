/** Types for leases in the key-value service. */

import type { GeneratorState, Moment } from "@cardamomglade/common";

/**
 * A lease as seen by its holder. `heldUntil` is the time at which the request
 * was sent plus the TTL, less a safety margin; no effect may start at or after it.
 */
export interface HeldLease {
  readonly role: string;
  /** Fencing token: the revision that created the holder key; increases with every term. */
  readonly fencing: number;
  readonly heldUntil: Moment;
}

/** Phase of acquiring and holding a lease. */
export type LeasePhase =
  | { readonly type: "idle"; readonly tryAt: Moment }
  | { readonly type: "granting"; readonly sentAt: Moment }
  | {
      readonly type: "claiming";
      readonly leaseId: string;
      readonly heldUntil: Moment;
      /** Time at which the claim in flight was sent; undefined while none is in flight. */
      readonly sentAt: Moment | undefined;
      readonly tryAt: Moment;
    }
  | {
      readonly type: "held";
      readonly leaseId: string;
      readonly fencing: number;
      readonly heldUntil: Moment;
      /** Time at which the renewal in flight was sent; undefined while none is in flight. */
      readonly sentAt: Moment | undefined;
      readonly renewAt: Moment;
    };

/** State of one router's lease for one role. */
export interface LeaseState {
  readonly role: string;
  /** Value of the holder key: the name of this router. */
  readonly holder: string;
  readonly ttlMs: number;
  readonly isWanted: boolean;
  readonly failures: number;
  readonly generator: GeneratorState;
  readonly phase: LeasePhase;
}

/** Metadata of the holder key as read from the key-value service. */
export interface FoundHolder {
  readonly leaseId: string;
  readonly createRevision: number;
}

/** Events of a lease; `sentAt` identifies the call that an answer belongs to. */
export type LeaseEvent =
  | { readonly type: "wanted"; readonly at: Moment; readonly tryAt: Moment }
  | { readonly type: "unwanted"; readonly at: Moment }
  | {
      readonly type: "granted";
      readonly at: Moment;
      readonly sentAt: Moment;
      readonly leaseId: string;
      readonly ttlMs: number;
    }
  | {
      readonly type: "grantFailed";
      readonly at: Moment;
      readonly sentAt: Moment;
    }
  | {
      readonly type: "claimAnswered";
      readonly at: Moment;
      readonly sentAt: Moment;
      readonly found: FoundHolder | undefined;
    }
  | {
      readonly type: "claimFailed";
      readonly at: Moment;
      readonly sentAt: Moment;
    }
  | {
      readonly type: "renewed";
      readonly at: Moment;
      readonly sentAt: Moment;
      /** 0 where the lease no longer exists in the service. */
      readonly ttlMs: number;
    }
  | {
      readonly type: "renewFailed";
      readonly at: Moment;
      readonly sentAt: Moment;
    }
  | { readonly type: "timePassed"; readonly at: Moment };

/** A request to the key-value service. */
export type LeaseCall =
  | {
      readonly type: "grant";
      readonly sentAt: Moment;
      readonly ttlMs: number;
      readonly deadline: Moment;
    }
  | {
      /** Creates the holder key if it does not exist, then reads it. */
      readonly type: "claim";
      readonly sentAt: Moment;
      readonly leaseId: string;
      readonly holder: string;
      readonly deadline: Moment;
    }
  | {
      readonly type: "renew";
      readonly sentAt: Moment;
      readonly leaseId: string;
      readonly deadline: Moment;
    }
  | {
      readonly type: "revoke";
      readonly leaseId: string;
      readonly deadline: Moment;
    };

/** Commands that a lease emits. */
export type LeaseCommand =
  | { readonly type: "call"; readonly call: LeaseCall }
  | { readonly type: "acquired"; readonly lease: HeldLease }
  | { readonly type: "extended"; readonly lease: HeldLease }
  | { readonly type: "lost" };
