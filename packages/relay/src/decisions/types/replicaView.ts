/** Types of what a router knows of one replica. */

import type { Timestamp } from "@cardamomglade/common";
import type { EngineReport, Replica } from "../../types.js";
import type { BackOff } from "../backOff/types.js";
import type { AnswerTimes } from "../plannedStop/types.js";
import type {
  ClassTimes,
  TimesByClass,
  UnsharedTimes,
} from "../serviceTimes/types.js";

/** Numbers of attempts that succeeded and failed. */
export interface OutcomeCounts {
  succeeded: number;
  failed: number;
}

/** Outcomes at one replica, as routers tell them each other. */
export interface ReplicaOutcomes extends Readonly<OutcomeCounts> {
  readonly replica: string;
  /** Times of answers; none from routers that tell only outcomes. */
  readonly times: readonly ClassTimes[];
}

/** This process's local view of one replica. */
export interface ReplicaView {
  replica: Replica;
  /** This router's attempts in flight. */
  inFlight: number;
  /** This router's attempts whose prompt is still in prefill. */
  prefilling: number;
  /** Time of the last response, event or probe answer from the replica. */
  heardAt: Timestamp;
  /** The replica is suspected and avoided until this time. */
  suspectUntil: Timestamp;
  /** Send time of the probe in flight; undefined if there is none. */
  probeSentAt: Timestamp | undefined;
  /** Send time of one that only connects, as the replica wants no requests. */
  bareProbeSentAt: Timestamp | undefined;
  /** Times of the latest streams of this replica alone, by class of work. */
  readonly answerTimes: Map<string, AnswerTimes>;
  /** Recent outcomes of all routers' attempts; they lose weight with time from the given one on. */
  readonly outcomes: OutcomeCounts;
  outcomesCountedAt: Timestamp;
  /** Outcomes of this router's attempts that other routers do not know yet. */
  unsharedOutcomes: OutcomeCounts;
  /** Times of recent answers that are no streams, to all routers. */
  readonly serviceTimes: TimesByClass;
  /** Times of answers to this router that other routers do not know yet. */
  readonly unsharedTimes: UnsharedTimes;
  /** Latest load report, and the time at which it was received. */
  report: EngineReport | undefined;
  reportReceivedAt: Timestamp;
  /**
   * Cached tokens by prompt block, 0 for one that was evicted, the time at which
   * the list was received, and the time of the last request for it.
   */
  promptBlocks: ReadonlyMap<string, number> | undefined;
  promptBlocksReadAt: Timestamp;
  promptBlocksRequestedAt: Timestamp;
  /** Time at which an attempt at this replica was last lost. */
  lastLossAt: Timestamp;
  /** Time at which draining or removal was first seen; undefined while the replica stays. */
  drainingSince: Timestamp | undefined;
  /** Time at which the entry of a replica that drains was first missing. */
  leftAt: Timestamp | undefined;
  /** Whether an answer of the process said that it leaves; no store entry of the process takes that back. */
  hasAnnouncedLeaving: boolean;
  /** Time at which another process was found at the replica's address. */
  replacedAt: Timestamp | undefined;
  /** Time that an answer of the process named to this router; undefined before the first. */
  backOff: BackOff | undefined;
  /** What its answers say about its limit of requests; undefined before the first limit. */
  requestLimit: RequestLimit | undefined;
}

/** What a replica's answers say about the requests that it takes from all routers together. */
export interface RequestLimit {
  /** Requests a second; undefined if the latest answer names no limit. */
  readonly perS: number | undefined;
  /** Time of the latest answer, at whichever router. */
  readonly namedAt: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
  /** Number of the service's replicas at the time of that answer. */
  readonly replicaCount: number;
  /** From then on, this router may send the next request. */
  nextAt: Timestamp;
}
