/** Types of second tries: requests that are sent to a second replica before their answer is overdue. */

import type { Timestamp } from "@cardamomglade/common";

/** Time of one answer. */
export interface AnswerSample {
  readonly at: Timestamp;
  readonly ms: number;
}

/** What is usual for the answers to one route's requests at one service. */
export interface UsualTimes {
  /** Silence after which an answer is slow. */
  readonly delayMs: number;
  readonly medianMs: number;
  /** Whether answers take much longer now than they did over the last minute, or too little is known of that. */
  readonly isRising: boolean;
}

/** Times of the latest answers to one route's requests at one service. */
export interface RecentTimes {
  /** By id of the replica, the oldest first. */
  readonly byReplica: Map<string, AnswerSample[]>;
  /** Medians of the last minute, the oldest first. */
  readonly medians: number[];
  nextMedianAt: Timestamp;
  /** Undefined while too little is known. */
  usual: UsualTimes | undefined;
  /** Time from which it is worked out anew. */
  nextUsualAt: Timestamp;
  lastAt: Timestamp;
}

/** Number of events in an interval that begins with the first of them. */
export interface IntervalCount {
  readonly from: Timestamp;
  count: number;
}

/** Requests of one service in the current sliding window. */
export interface ServiceTries {
  /** First sendings of idempotent requests. */
  readonly firsts: IntervalCount[];
  /** Times of second tries. */
  readonly sent: Timestamp[];
  /** Refusals by full replicas. */
  readonly refusals: IntervalCount[];
  /** Replicas at which slow answers are out, as counted at the time below. */
  slowReplicaCount: number;
  slowCountedAt: Timestamp;
}

/** State of all second tries. */
export interface SecondTryState {
  /** By service and route. */
  readonly times: Map<string, RecentTimes>;
  /** By service. */
  readonly services: Map<string, ServiceTries>;
  sentCount: number;
  /** Second tries whose answer was delivered. */
  wonCount: number;
  /** Time for which replicas worked on attempts whose answer was not delivered, in milliseconds. */
  wastedMs: number;
}

/** The slow answer of a request, and the second try for it. */
export interface SlowAnswer {
  /** Number of the attempt that was slow. */
  readonly attempt: number;
  readonly replica: string;
  readonly sentAt: Timestamp;
  /** The second try; undefined if none was sent. */
  second: SentTry | undefined;
}

/** A second try. */
export interface SentTry {
  readonly attempt: number;
  readonly sentAt: Timestamp;
  /** Time at which it was refused or lost; undefined while it may win. */
  endedAt: Timestamp | undefined;
}
