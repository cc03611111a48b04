/** Types of stream recovery. */

import type { Timestamp } from "@cardamomglade/common";
import type { FinishReason, RecoveryPolicy } from "@cardamomglade/schema";
import type { EngineLatency, LatencyEstimate } from "./tokenLatency.js";

/** Number of an attempt within one request, starting at 0. */
export type AttemptNumber = number;

/** Why an attempt failed. */
export enum AttemptFailure {
  Connection = "connection",
  Refused = "refused",
  Silence = "silence",
  /** The engine ended its answer elsewhere than at the accepted offset. */
  WrongOffset = "wrongOffset",
  WrongVersion = "wrongVersion",
  Malformed = "malformed",
}

/** Why a secondary attempt is opened beside the current one. */
export enum SecondaryReason {
  /** The current attempt is silent; the attempt that sends the next valid token first is kept. */
  Silence = "silence",
  /** The current back end is draining; its tokens are held until the secondary attempt sends tokens. */
  Migration = "move",
}

/**
 * One attempt to generate the answer on one back end. `GET /explain` returns it
 * as it is, so its field names are part of the administration API.
 */
export interface AttemptState {
  readonly attempt: AttemptNumber;
  readonly backEnd: string;
  /** Token offset at which the attempt started. */
  readonly from: number;
  /** Offset expected of its next token. */
  readonly next: number;
  /** Time of its newest token. */
  readonly lastHeardAt: Timestamp;
  /** Latency between its tokens. */
  readonly pace: LatencyEstimate;
  /** Time at which its back end last answered a probe; cleared when a token arrives within the timeout. */
  readonly probedAt: Timestamp | undefined;
}

/** Phase of a stream; its names are part of `GET /explain`, like those of an attempt. */
export type StreamPhase =
  | {
      readonly type: "assigning";
      readonly avoid: readonly string[];
      readonly retryAt: Timestamp;
    }
  | {
      /** The attempt before was cancelled; the stream goes on once its engine is known to have ended it. */
      readonly type: "releasing";
      readonly attempt: AttemptNumber;
      /** Time at which the stream goes on although nothing is known. */
      readonly until: Timestamp;
      readonly avoid: readonly string[];
      readonly retryAt: Timestamp;
    }
  | { readonly type: "running"; readonly current: AttemptState }
  | {
      readonly type: "probing";
      readonly current: AttemptState;
      readonly until: Timestamp;
    }
  | {
      /** A secondary attempt is wanted and waits for a back end. */
      readonly type: "seeking";
      readonly current: AttemptState;
      readonly reason: SecondaryReason;
      readonly retryAt: Timestamp;
    }
  | {
      readonly type: "hedged";
      readonly current: AttemptState;
      /** The secondary attempt. */
      readonly challenger: AttemptState;
      readonly reason: SecondaryReason;
      /** Number of tokens of the current attempt that are held back until one of the attempts is chosen. */
      readonly held: number;
      /** Time at which the current attempt is cancelled if neither was chosen: no two engines work on one answer for long. */
      readonly holdUntil: Timestamp;
    }
  | { readonly type: "finished" }
  | { readonly type: "failed" };

/** State of one stream: plain data whose size does not depend on the length of the answer. */
export interface StreamState {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Timestamp;
  /** Tokens delivered or accepted for delivery; the offset at which a new attempt continues. */
  readonly acceptedTokens: number;
  readonly attemptCount: number;
  /** Consecutive failures since the last accepted token. */
  readonly failures: number;
  /** Back ends on which an attempt failed or was abandoned; avoided in the next assignment. */
  readonly failedBackEnds: readonly string[];
  readonly wastedTokens: number;
  /** Whether reading is paused because the caller is too slow (backpressure). */
  readonly isPaused: boolean;
  /** Whether the text of the accepted tokens is unknown here, so that no new attempt can continue after them. */
  readonly isPrefixUnknown: boolean;
  readonly phase: StreamPhase;
}

/** Events of a stream. */
export type RecoveryEvent =
  | {
      readonly type: "backEndAssigned";
      readonly at: Timestamp;
      readonly backEnd: string;
    }
  | {
      readonly type: "noBackEnd";
      readonly at: Timestamp;
      /** Whether back ends exist but currently accept no further resumes. */
      readonly isRateLimited?: boolean;
    }
  | {
      readonly type: "tokensArrived";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly count: number;
    }
  | {
      readonly type: "attemptFinished";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly reason: FinishReason;
      /** Whether the router ended the answer while the engine is still generating. */
      readonly isEngineStillRunning?: boolean;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
      readonly failure: AttemptFailure;
    }
  | {
      /** The engine of a cancelled attempt runs it no more, or its host takes no connection. */
      readonly type: "attemptReleased";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
    }
  | {
      /** Another router reads the attempt, as its caller resumed there. */
      readonly type: "attemptTakenOver";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
    }
  | {
      readonly type: "backEndProbed";
      readonly at: Timestamp;
      readonly attempt: AttemptNumber;
      readonly isAlive: boolean;
    }
  | { readonly type: "migrationRequested"; readonly at: Timestamp }
  | { readonly type: "callerSlow"; readonly at: Timestamp }
  | { readonly type: "callerReady"; readonly at: Timestamp }
  | { readonly type: "callerDisconnected"; readonly at: Timestamp }
  | {
      readonly type: "timerTicked";
      readonly at: Timestamp;
      /** Time for which this process itself was stalled; not counted as silence of an engine. */
      readonly processStallMs?: number;
      readonly engineLatencies?: ReadonlyMap<string, EngineLatency>;
    };

/** Why a stream could not be completed. */
export enum StreamFailure {
  DeadlineExceeded = "deadlineExceeded",
  NoBackEnd = "noBackEnd",
  /** The engine's stream is lost and the text of the accepted tokens is unknown. */
  PrefixUnknown = "prefixUnknown",
  /** The caller resumed at another router. */
  TakenOver = "takenOver",
}

/** Commands issued by a stream. */
export type RecoveryCommand =
  | { readonly type: "assignBackEnd"; readonly avoid: readonly string[] }
  | {
      readonly type: "openAttempt";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
      readonly from: number;
    }
  | {
      /** Attaches to a stream that the engine is already running. */
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
      /** The attempt has ended by itself, so there is nothing to cancel. */
      readonly type: "closeAttempt";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
    }
  | {
      readonly type: "probeBackEnd";
      readonly attempt: AttemptNumber;
      readonly backEnd: string;
      readonly deadline: Timestamp;
    }
  | { readonly type: "pauseAttempt"; readonly attempt: AttemptNumber }
  | { readonly type: "resumeAttempt"; readonly attempt: AttemptNumber }
  | {
      readonly type: "deliver";
      readonly attempt: AttemptNumber;
      readonly offset: number;
      readonly skipCount: number;
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
