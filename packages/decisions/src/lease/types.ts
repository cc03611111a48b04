/** Types of leases held through the key-value service. */

import type { GeneratorState, Moment } from "@cardamomglade/common";

/**
 * A lease as its holder sees it. `heldUntil` counts from before the request was
 * sent, less a margin; no effect may start at or after it.
 */
export interface HeldLease {
  readonly role: string;
  /** Revision that fences this term; larger in every later term. */
  readonly fencing: number;
  readonly heldUntil: Moment;
}

/** Where the pursuit of a role stands. */
export type LeasePhase =
  | { readonly type: "idle"; readonly tryAt: Moment }
  | { readonly type: "granting"; readonly sentAt: Moment }
  | {
      readonly type: "claiming";
      readonly leaseId: string;
      readonly heldUntil: Moment;
      /** Moment of the claim under way; undefined between tries. */
      readonly sentAt: Moment | undefined;
      readonly tryAt: Moment;
    }
  | {
      readonly type: "held";
      readonly leaseId: string;
      readonly fencing: number;
      readonly heldUntil: Moment;
      /** Moment of the renewal under way; undefined between renewals. */
      readonly sentAt: Moment | undefined;
      readonly renewAt: Moment;
    };

/** One router's pursuit of one role. */
export interface LeaseState {
  readonly role: string;
  /** Name that the holder key carries. */
  readonly holder: string;
  readonly ttlMs: number;
  readonly isWanted: boolean;
  readonly failures: number;
  readonly generator: GeneratorState;
  readonly phase: LeasePhase;
}

/** A holder key as found in the key-value service. */
export interface FoundHolder {
  readonly leaseId: string;
  readonly createRevision: number;
}

/** What happens to a lease; `sentAt` names the call that is answered. */
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
      /** Zero where the service no longer knows the lease. */
      readonly ttlMs: number;
    }
  | {
      readonly type: "renewFailed";
      readonly at: Moment;
      readonly sentAt: Moment;
    }
  | { readonly type: "timePassed"; readonly at: Moment };

/** A call of the key-value service for a lease. */
export type LeaseCall =
  | {
      readonly type: "grant";
      readonly sentAt: Moment;
      readonly ttlMs: number;
      readonly deadline: Moment;
    }
  | {
      /** Puts the holder key where it does not exist, then reads it. */
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

/** What a lease asks for. */
export type LeaseCommand =
  | { readonly type: "call"; readonly call: LeaseCall }
  | { readonly type: "acquired"; readonly lease: HeldLease }
  | { readonly type: "extended"; readonly lease: HeldLease }
  | { readonly type: "lost" };
