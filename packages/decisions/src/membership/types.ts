/** Types of membership by gossip. */

import type { GeneratorState, Moment } from "@cardamomglade/common";
import type {
  CustomerDemand,
  Gossip,
  MemberRecord,
  MemberStatus,
} from "@cardamomglade/schema";

/** What a router knows of another one. */
export interface Member {
  record: MemberRecord;
  /** Hash of name, incarnation and status. */
  hash: number;
  /** Moment of the last change of status. */
  changedAt: Moment;
  /** Routers that reported the suspicion, this one included. */
  readonly suspectedBy: Set<string>;
  /** Smoothed time between a probe and its acknowledgement. */
  roundTripMs: number;
}

/** A probe that waits for its acknowledgement. */
export interface Probe {
  readonly target: string;
  readonly sentAt: Moment;
  deadline: Moment;
  /** Whether other routers were asked to probe too. */
  isRelayed: boolean;
  /** The router and probe number on whose behalf it was sent. */
  readonly onBehalfOf?: { readonly router: string; readonly probe: number };
}

/** What a heartbeat carries besides members. */
export interface Heartbeat {
  readonly revision: number;
  readonly demand: readonly CustomerDemand[];
}

/** A router's view of all routers; owned by the fold and changed in place. */
export interface MembershipState {
  self: MemberRecord;
  generator: GeneratorState;
  heartbeat: Heartbeat;
  readonly members: Map<string, Member>;
  readonly links: Set<string>;
  /** Records to pass on, with the number of times they were sent. */
  readonly news: Map<string, number>;
  readonly probes: Map<number, Probe>;
  /** Addresses of the routers this one keeps links to. */
  readonly neighbours: Set<string>;
  /** Linked routers in the order they are probed. */
  turn: string[];
  nextProbe: number;
  nextGossipAt: Moment;
  nextRepairAt: Moment;
  nextReviewAt: Moment;
  /** Position in the table from which the next repair goes on. */
  repairFrom: number;
  demandFrom: number;
  heardAt: Moment;
  /** Share of the last probes that failed, 0 to 1. */
  failing: number;
}

/** What membership hears. */
export type MembershipEvent =
  | {
      readonly type: "listening";
      readonly at: Moment;
      readonly url: string;
      readonly callersUrl: string;
      readonly administrationUrl: string;
    }
  | { readonly type: "linked"; readonly at: Moment; readonly peer: string }
  | { readonly type: "lost"; readonly at: Moment; readonly peer: string }
  | {
      readonly type: "gossipReceived";
      readonly at: Moment;
      readonly peer: string;
      readonly gossip: Gossip;
    }
  | {
      readonly type: "timePassed";
      readonly at: Moment;
      readonly heartbeat: Heartbeat;
    }
  | { readonly type: "leaving"; readonly at: Moment };

/** What membership asks for. */
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
