/** Types of a request's attempts at replicas. */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../../types.js";
import type { EndEvidence, UnconfirmedEnd } from "../answerEnds/types.js";
import type { ResponseHead } from "./response.js";

/** How an attempt starts: from the prompt, or from a KV cache copy. */
export type AttemptStart =
  | { readonly type: "fresh" }
  | { readonly type: "copy"; readonly copy: KvCacheCopy };

/** A copy of a request's KV cache at another engine. */
export interface KvCacheCopy {
  readonly holder: Replica;
  /** Engine whose address identifies the copy. */
  readonly source: Replica;
  readonly handle: string;
  readonly createdAt: Timestamp;
}

/** One attempt: a request sent to one replica. */
export interface Attempt {
  readonly number: number;
  readonly replica: Replica;
  readonly start: AttemptStart;
  readonly sentAt: Timestamp;
  /** Time by which its answer was expected to end when it was sent; undefined unless this process was stopping. */
  readonly expectedEndAt: Timestamp | undefined;
  /** Its prompt's reading time as a multiple of that at an idle engine; undefined if its engine read other prompts as well, or its load was not known. */
  readonly readingFactor: number | undefined;
  /** Whether the request may have been executed before this attempt. */
  readonly mayHaveExecutedBefore: boolean;
  /** Whether it counts against the route's maximum: another one at its replica may do so already. */
  readonly isCounted: boolean;
  /** Engine that keeps a KV cache copy from the start of the attempt. */
  readonly copyTo: Replica | undefined;
  /** Latest copy of the request's KV cache. */
  copy: KvCacheCopy | undefined;
  /** Time at which another copy was requested; undefined if no copy request is pending. */
  copyRequestedAt: Timestamp | undefined;
  /** Ids of engines that could not hold a copy for this attempt. */
  readonly rejectedHolders: Set<string>;
  /** Whether its connection was established. */
  isConnected: boolean;
  heardAt: Timestamp;
  /** Time at which its replica last took a part of the request, or sent one of the answer; the time of sending before that. */
  progressedAt: Timestamp;
  /** Whether its answer waits for memory of this process. */
  isHeldBack: boolean;
  hasEvents: boolean;
  /** Response head of a stream that has started. */
  head: ResponseHead | undefined;
  /** Number of events received, and the time of the first. */
  eventCount: number;
  firstEventAt: Timestamp | undefined;
  /** Whether the answer went on after its first events: the engine survived the prompt. */
  isEstablished: boolean;
  /** Set while the replica is asked whether its answer, whose connection has ended, is whole. */
  unconfirmedEnd: UnconfirmedEnd | undefined;
  /** What the replica said to that; undefined if it was not asked. */
  endEvidence: EndEvidence | undefined;
  /** Number of questions to stop its run that may have reached the replica. */
  stopCount: number;
  /** Whether its time was counted, or that it took too long. */
  isTimed: boolean;
  /** Time since its sending in which this process stood still, in milliseconds; undefined if it did not. */
  stalledMs?: number;
  /** Whether its answer was counted for a roll-out. */
  isJudged?: boolean;
  /** Whether a long pause of its stream was. */
  isPauseJudged?: boolean;
}

/** Why an attempt ended without a response. */
export enum AttemptFailure {
  /** No connection was established, so the request was not sent. */
  NotSent = "notSent",
  /** The connection closed before the response was complete. */
  Broken = "broken",
  /** The response is invalid or does not belong to this request. */
  Malformed = "malformed",
}
