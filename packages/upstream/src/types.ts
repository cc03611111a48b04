/** Interfaces of the clients of inference engines and plain HTTP services. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  CallMethod,
  EngineToken,
  FinishReason,
  LoadReport,
  Priority,
} from "@cardamomglade/schema";

/** Parameters of a new generation on an engine. */
export interface GenerationParams {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly priority: Priority;
  /** Token ids that were already generated; the engine continues after them. */
  readonly prefix: readonly number[];
}

/** Identifies a generation that the engine already runs, and the token offset to read from. */
export interface AttachParams {
  readonly requestId: string;
  readonly attempt: number;
  readonly version: string;
  readonly offset: number;
}

/** Why a stream failed. */
export interface StreamFailure {
  readonly type: "connection" | "refused" | "malformed" | "wrongVersion";
  readonly message: string;
}

/** Event of an engine's stream. The last event is `finished` or `broken`. */
export type EngineStreamEvent =
  | {
      readonly type: "tokens";
      readonly offset: number;
      readonly tokens: readonly EngineToken[];
    }
  | {
      readonly type: "finished";
      readonly offset: number;
      readonly reason: FinishReason;
    }
  | { readonly type: "broken"; readonly cause: StreamFailure };

/** What one try to cancel a generation has shown. */
export enum CancelOutcome {
  /** The engine runs it no more. */
  Ended = "ended",
  /** Another reader has attached, whose generation it is now. */
  TakenOver = "takenOver",
  /** The engine's host took the connection, and no answer came. */
  Unanswered = "unanswered",
  /** The engine's host took no connection. */
  Unreachable = "unreachable",
}

/** Handle of an open stream. */
export interface EngineStream {
  pause(): void;
  resume(): void;
  /**
   * Stops reading and cancels the generation, unless another reader has attached since;
   * tries again until its end is known, and calls back after each try.
   */
  cancel(onOutcome?: (outcome: CancelOutcome) => void): void;
  /** Stops reading; the engine continues the generation. */
  detach(): void;
}

/** Client of the inference engines. */
export interface Engines {
  generate(
    url: string,
    order: GenerationParams,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream;
  /** Attaches to a generation that the engine is running or whose output it still holds. */
  attach(
    url: string,
    order: AttachParams,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream;
  /** Whether the engine passes its health check before the deadline. */
  isAlive(url: string, deadline: Timestamp): Promise<boolean>;
  readLoad(url: string, deadline: Timestamp): Promise<LoadReport | undefined>;
  close(): Promise<void>;
}

/** A call to a plain HTTP service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: CallMethod;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly deadline: Timestamp;
}

/**
 * Outcome of a service call. `notSent` guarantees that the service did not
 * execute the call; after `unknown` it may have.
 */
export type ServiceOutcome =
  | {
      readonly type: "answered";
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly type: "notSent"; readonly message: string }
  | { readonly type: "unknown"; readonly message: string };

/** Client of the plain HTTP services. It never retries a call. */
export interface Services {
  call(url: string, call: ServiceCall): Promise<ServiceOutcome>;
  close(): Promise<void>;
}
