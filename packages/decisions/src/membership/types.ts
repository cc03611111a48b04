/** Types for gossip-based membership. */

import type { RandomState, Timestamp } from "@cardamomglade/common";
import type {
  CustomerDemand,
  Gossip,
  MemberRecord,
  MemberStatus,
} from "@cardamomglade/schema";

/** A router's view of another router. */
export interface Member {
  record: MemberRecord;
  /** Hash of name, incarnation and status. */
  hash: number;
  /** Time of the last change of status, moved forward by the length of this process's pauses. */
  statusChangedAt: Timestamp;
  /** Routers that reported the suspicion, including this one. */
  readonly suspectedBy: Set<string>;
  /** Smoothed time between a probe and its acknowledgement. */
  roundTripMs: number;
}

/** A probe in flight. */
export interface Probe {
  readonly target: string;
  readonly sentAt: Timestamp;
  deadline: Timestamp;
  /** Whether indirect probes were requested, or this probe was sent for another router. */
  isIndirect: boolean;
  /** The router that requested this indirect probe, and its probe number. */
  readonly requestedBy?: { readonly router: string; readonly probe: number };
}

/** Payload of a heartbeat besides member records. */
export interface HeartbeatPayload {
  readonly revision: number;
  readonly demand: readonly CustomerDemand[];
}

/** A router's view of all routers; mutated in place by `decideMembership`. */
export interface MembershipState {
  self: MemberRecord;
  generator: RandomState;
  heartbeat: HeartbeatPayload;
  readonly members: Map<string, Member>;
  readonly links: Set<string>;
  /** Updated records to disseminate: number of times each was sent, by router. */
  readonly pendingUpdates: Map<string, number>;
  readonly probes: Map<number, Probe>;
  /** URLs of the routers that this router keeps links to. */
  readonly neighbours: Set<string>;
  /** Connected routers in the order in which they are probed. */
  probeOrder: string[];
  nextProbeNumber: number;
  nextGossipAt: Timestamp;
  nextSyncAt: Timestamp;
  nextNeighbourUpdateAt: Timestamp;
  /** Position in the table at which the next anti-entropy message starts. */
  nextSyncIndex: number;
  /** Position in the demands at which the next heartbeat starts. */
  nextDemandIndex: number;
  lastTickAt: Timestamp;
  /** Smoothed share of recent probes that failed, 0 to 1. */
  probeFailureRate: number;
}

/** Events of membership. */
export type MembershipEvent =
  | {
      readonly type: "listening";
      readonly at: Timestamp;
      readonly url: string;
      readonly callersUrl: string;
      readonly administrationUrl: string;
    }
  | { readonly type: "linked"; readonly at: Timestamp; readonly peer: string }
  | { readonly type: "lost"; readonly at: Timestamp; readonly peer: string }
  | {
      readonly type: "gossipReceived";
      readonly at: Timestamp;
      readonly peer: string;
      readonly gossip: Gossip;
    }
  | {
      readonly type: "timerTicked";
      readonly at: Timestamp;
      readonly heartbeat: HeartbeatPayload;
    }
  | { readonly type: "leaving"; readonly at: Timestamp };

/** Commands that membership emits. */
export type MembershipCommand =
  | {
      readonly type: "send";
      readonly peer: string;
      readonly message: Gossip;
    }
  | { readonly type: "connect"; readonly url: string }
  | { readonly type: "forget"; readonly url: string }
  | {
      readonly type: "changed";
      readonly router: string;
      readonly status: MemberStatus;
    };
