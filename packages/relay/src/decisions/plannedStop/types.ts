/** Types for planned stops and for the times of answers. */

import type { Timestamp } from "@cardamomglade/common";

/** A planned stop of this process. */
export interface PlannedStop {
  readonly startedAt: Timestamp;
  /** New connections are accepted until then. */
  readonly noticeEndsAt: Timestamp;
  /** Requests that have not ended by then are cut off. */
  readonly endsAt: Timestamp;
}

/** What is left of an answer that a stop cuts off. */
export enum WorkKind {
  /** An answer that is sent as a whole: its caller is told that there is none. */
  Answer = "answer",
  /** A stream that its caller can take up elsewhere. */
  ResumableStream = "resumableStream",
  /** A stream that is lost. */
  Stream = "stream",
}

/** Work of a request: answers in one class take times in proportion to their units. */
export interface Work {
  readonly kind: WorkKind;
  readonly timeClass: string;
  readonly units: number;
}

/** Times of the latest answers in one class, from the oldest to the newest. */
export interface AnswerTimes {
  /** From a request to the first event of its stream. */
  readonly firstEventMs: number[];
  /** From then to the end, or from a request to the end of an answer that is no stream. */
  readonly msPerUnit: number[];
}
