/** Calls to replicas, and what they report. */

import type { RetryAfter } from "../../decisions/backOff/types.js";
import type { RelayCommand } from "../../decisions/commands.js";
import type {
  AnsweringReplica,
  AttemptFailure,
  BufferedResponse,
  ResponseHead,
  StreamEvent,
} from "../../decisions/types.js";

/** Sends a request to a replica. */
export type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** Hands a request on to another router. */
export type HandOnCommand = Extract<RelayCommand, { readonly type: "handOn" }>;

/** Events of a call; no event follows a response, the end of a stream or a failure. */
export type CallEvent =
  | { readonly type: "connectionOpened" }
  | { readonly type: "requestProgressed" }
  | { readonly type: "answerProgressed"; readonly isHeldBack: boolean }
  | { readonly type: "leavingAnnounced"; readonly replica: AnsweringReplica }
  | {
      readonly type: "backOffRequested";
      readonly replica: AnsweringReplica;
      readonly retryAfter: RetryAfter;
    }
  | { readonly type: "responseReceived"; readonly answer: BufferedResponse }
  | { readonly type: "streamStarted"; readonly head: ResponseHead }
  | { readonly type: "eventsArrived"; readonly events: readonly StreamEvent[] }
  | { readonly type: "streamEnded" }
  | {
      readonly type: "attemptFailed";
      readonly failure: AttemptFailure;
      readonly detail: string;
    };
