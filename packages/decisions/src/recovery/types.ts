/** Types of stream recovery. */

import type { Moment } from "@cardamomglade/common";
import type { FinishReason, RecoveryPolicy } from "@cardamomglade/schema";
import type { EnginePace, TokenPace } from "./tokenPace.js";

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

/** Why a second attempt is wanted beside the current one. */
export enum ChallengeReason {
  /** The current attempt is silent; the first valid token of either wins. */
  Silence = "silence",
  /** The current back end is leaving; its tokens are held until the new one speaks. */
  Move = "move",
}

/** One try of generating the answer on one back end. */
export interface AttemptState {
  readonly attempt: AttemptNumber;
  readonly backEnd: string;
  /** Offset at which the attempt began. */
  readonly from: number;
  /** Offset that its next token must have. */
  readonly next: number;
  readonly lastHeardAt: Moment;
  readonly pace: TokenPace;
  /** Whether a probe found its back end alive since its last token. */
  readonly isProbed: boolean;
}

/** Where a stream stands. */
export type StreamPhase =
  | {
      readonly type: "assigning";
      readonly avoid: readonly string[];
      readonly retryAt: Moment;
    }
  | { readonly type: "running"; readonly current: AttemptState }
  | {
      readonly type: "probing";
      readonly current: AttemptState;
      readonly until: Moment;
    }
  | {
      readonly type: "seeking";
      readonly current: AttemptState;
      readonly reason: ChallengeReason;
      readonly retryAt: Moment;
    }
  | {
      readonly type: "hedged";
      readonly current: AttemptState;
      readonly challenger: AttemptState;
      readonly reason: ChallengeReason;
      /** Tokens of the current attempt that wait for the outcome. */
      readonly held: number;
      readonly holdUntil: Moment;
    }
  | { readonly type: "finished" }
  | { readonly type: "failed" };

/** State of one stream: plain data, small, independent of the answer's length. */
export interface StreamState {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Moment;
  readonly accepted: number;
  readonly attemptsMade: number;
  /** Assignments that failed since the last accepted token. */
  readonly failures: number;
  readonly lost: readonly string[];
  readonly wasted: number;
  /** Whether the caller is too slow to take more. */
  readonly isPaused: boolean;
  /** Whether the accepted tokens are not known here, so that no other attempt can continue. */
  readonly isPrefixUnknown: boolean;
  readonly phase: StreamPhase;
}

/** What a stream hears. */
export type RecoveryEvent =
  | {
      readonly type: "backEndAssigned";
      readonly at: Moment;
      readonly backEnd: string;
    }
  | {
      readonly type: "noBackEnd";
      readonly at: Moment;
      /** Whether back ends exist that take no further resume just now. */
      readonly isPaced?: boolean;
    }
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
      /** Whether the router ended the answer and the engine still runs. */
      readonly isCut?: boolean;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Moment;
      readonly attempt: AttemptNumber;
      readonly failure: AttemptFailure;
    }
  | {
      readonly type: "backEndProbed";
      readonly at: Moment;
      readonly attempt: AttemptNumber;
      readonly isAlive: boolean;
    }
  | { readonly type: "moveRequested"; readonly at: Moment }
  | { readonly type: "callerSlow"; readonly at: Moment }
  | { readonly type: "callerReady"; readonly at: Moment }
  | { readonly type: "callerGone"; readonly at: Moment }
  | {
      readonly type: "timePassed";
      readonly at: Moment;
      /** Time in which this process itself did not run; it is no silence. */
      readonly stalledMs?: number;
      readonly engines?: ReadonlyMap<string, EnginePace>;
    };

/** Why a stream could not be completed. */
export enum StreamFailure {
  DeadlineExceeded = "deadlineExceeded",
  NoBackEnd = "noBackEnd",
  /** The engine's own stream is gone and the accepted tokens are not known. */
  PrefixUnknown = "prefixUnknown",
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
      /** Takes up a stream that the engine already runs. */
      readonly type: "attachAttempt";
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
      /** The attempt is over by itself; nothing is left to cancel. */
      readonly type: "closeAttempt";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
    }
  | {
      readonly type: "probeBackEnd";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
      readonly deadline: Moment;
    }
  | { readonly type: "pauseAttempt"; readonly attempt: AttemptNumber }
  | { readonly type: "resumeAttempt"; readonly attempt: AttemptNumber }
  | {
      readonly type: "deliver";
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly skip: number;
    }
  | { readonly type: "hold" }
  | { readonly type: "dropHeld" }
  | {
      readonly type: "deliverHeld";
      readonly attempt: AttemptNumber;
      readonly offset: number;
    }
  | { readonly type: "finish"; readonly reason: FinishReason }
  | { readonly type: "fail"; readonly failure: StreamFailure };
