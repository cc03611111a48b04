/** Types of requests that one router hands on to another. */

import type { Timestamp } from "@cardamomglade/common";
import type { Address } from "../../types.js";
import type { KvCacheCopy, ResponseHead } from "../types.js";

/** Why a router does not take a request over; the request was not executed there. */
export enum HandoverRefusal {
  /** It has no path to the service's replicas either. */
  NoPath = "noPath",
  /** It serves as many requests of others as it may, or is busy with its own. */
  NoRoom = "noRoom",
  Stopping = "stopping",
  /** The request does not come from a registered router, or its service is not the route's. */
  NotAllowed = "notAllowed",
}

/** What a router tells with a request that it hands on. */
export interface Handover {
  /** Host of that router, as the connection shows it. */
  readonly from: string;
  readonly service: string;
  /** Number of replicas that the request was sent to. */
  readonly attempts: number;
  /** Whether its next execution from the prompt is in that router's retry budget. */
  readonly isCounted: boolean;
  /** Software version at which the stream began; undefined if that is not known. */
  readonly softwareVersion: string | undefined;
  /** KV cache copy at which the request can resume. */
  readonly copy: HandedCopy | undefined;
  /** Runs that may be at work, the newest one last; undefined if the other router's software does not tell. */
  readonly earlierRuns: readonly HandedRun[] | undefined;
}

/** A run that its request left and that may be at work, as routers tell each other of it. */
export interface HandedRun {
  /** Id of its replica, and the start time of the replica's process. */
  readonly replica: string;
  readonly startedAt: Timestamp;
  /** Id of the engine to which its KV cache is copied when it stops; that of its own replica if none is chosen. */
  readonly holder: string;
  /** Time of its first event; undefined before that. */
  readonly begunAt: Timestamp | undefined;
  /** Time of the last sign of it. */
  readonly heardAt: Timestamp;
}

/** A KV cache copy as routers tell each other of it. */
export interface HandedCopy {
  /** Ids of the engine that holds it and of the one whose address identifies it. */
  readonly holder: string;
  readonly source: string;
  readonly handle: string;
  readonly createdAt: Timestamp;
}

/** A router's word that it takes requests over. */
export interface HandoverOffer {
  readonly address: Address;
  /** Zone of the router; undefined if its entry names none. */
  readonly zone: string | undefined;
  /** Services to whose replicas it has a path. */
  readonly services: ReadonlySet<string>;
  /** Requests that it still takes, as far as this router knows. */
  freePlaces: number;
  readonly until: Timestamp;
}

/** A request of this router's caller while another router serves it. */
export interface HandoverAttempt {
  readonly number: number;
  readonly to: Address;
  readonly sentAt: Timestamp;
  /** Whether the request may have been executed before. */
  readonly mayHaveExecutedBefore: boolean;
  readonly isCounted: boolean;
  readonly copy: KvCacheCopy | undefined;
  /** Time of the last data from the other router for this request. */
  heardAt: Timestamp;
  hasEvents: boolean;
  /** Response head of a stream that has started. */
  head: ResponseHead | undefined;
  /** Time at which the other router was last asked whether it runs. */
  askedAt: Timestamp;
}

/** What is known about handing requests on. */
export interface HandoverState {
  /** By address of the router. */
  readonly offers: Map<string, HandoverOffer>;
  /** Time at which each router was last heard of, by address. */
  readonly heardAt: Map<string, Timestamp>;
  /** Time at which routers were last asked for offers. */
  askedAt: Timestamp;
  /** This router takes nothing over until then: it was late with its own requests. */
  busyUntil: Timestamp;
  handedOnCount: number;
  takenOverCount: number;
  refusedCount: number;
}
