/** Types for the times that replicas take to answer. */

import type { Timestamp } from "@cardamomglade/common";

/** What an estimate was taken from. */
export enum EstimateSource {
  /** Answers of the replica itself. */
  Replica = "replica",
  /** Answers of all replicas, as too few of this one are known. */
  Service = "service",
}

/** How long an answer takes that is asked for now, with the queue before it. */
export interface TimeEstimate {
  readonly p50Ms: number;
  readonly p95Ms: number;
  /** Number of answers that it rests on; each counts for less with its age. */
  readonly weight: number;
  /** Time of the latest of them. */
  readonly updatedAt: Timestamp;
  readonly source: EstimateSource;
}

/** Recent answers by the range of their times; they lose weight from `countedAt` on. */
export interface TimeHistogram {
  readonly counts: number[];
  countedAt: Timestamp;
}

/** The shortest median of a class of work, and when it was seen. */
export interface UnloadedTime {
  readonly ms: number;
  readonly notedAt: Timestamp;
}

/** Histograms by class of work. */
export type TimesByClass = Map<string, TimeHistogram>;

/** Number of answers in one range of times. */
export interface BucketCount {
  readonly bucket: number;
  readonly count: number;
}

/** Answers of one class, as routers tell them each other. */
export interface ClassTimes {
  readonly timeClass: string;
  readonly buckets: readonly BucketCount[];
}

/** Answers that other routers do not know yet, by class of work and bucket. */
export type UnsharedTimes = Map<string, Map<number, number>>;
