/** Types of stream recovery. */

import type { Moment } from "@cardamomglade/common";
import type { FinishReason, RecoveryPolicy } from "@cardamomglade/schema";

/** Number of an attempt within one request, from 0. */
export type AttemptNumber = number;

/** Why an attempt was lost. */
export enum AttemptFailure {
  Connection = "connection",
  Refused = "refused",
  Silence = "silence",
  WrongOffset = "wrongOffset",
  WrongVersion = "wrongVersion",
  Malformed = "malformed",
}

/** One try of generating the answer on one back end. */
export interface AttemptState {
  readonly attempt: AttemptNumber;
  readonly backEnd: string;
  readonly from: number;
  readonly lastHeardAt: Moment;
}

/** Where a stream stands. */
export type StreamPhase =
  | { readonly type: "assigning"; readonly avoid: readonly string[] }
  | { readonly type: "running"; readonly current: AttemptState }
  | { readonly type: "finished" }
  | { readonly type: "failed" };

/** State of one stream: plain data, small, independent of the answer's length. */
export interface StreamState {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Moment;
  readonly accepted: number;
  readonly attemptsMade: number;
  readonly lost: readonly string[];
  readonly wasted: number;
  readonly phase: StreamPhase;
}

/** What a stream hears. */
export type RecoveryEvent =
  | {
      readonly type: "backEndAssigned";
      readonly at: Moment;
      readonly backEnd: string;
    }
  | { readonly type: "noBackEnd"; readonly at: Moment }
  | {
      readonly type: "tokensArrived";
      readonly at: Moment;
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly count: number;
    }
  | {
      readonly type: "attemptFinished";
      readonly at: Moment;
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly reason: FinishReason;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Moment;
      readonly attempt: AttemptNumber;
      readonly failure: AttemptFailure;
    }
  | { readonly type: "callerGone"; readonly at: Moment }
  | { readonly type: "timePassed"; readonly at: Moment };

/** Why a stream could not be completed. */
export enum StreamFailure {
  DeadlineExceeded = "deadlineExceeded",
  NoBackEnd = "noBackEnd",
}

/** What a stream asks for. */
export type RecoveryCommand =
  | { readonly type: "assignBackEnd"; readonly avoid: readonly string[] }
  | {
      readonly type: "openAttempt";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
      readonly from: number;
    }
  | {
      readonly type: "cancelAttempt";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
    }
  | {
      readonly type: "deliver";
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly skip: number;
    }
  | { readonly type: "finish"; readonly reason: FinishReason }
  | { readonly type: "fail"; readonly failure: StreamFailure };
