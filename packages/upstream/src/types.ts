/** Interfaces towards engines and plain services. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  CallMethod,
  EngineToken,
  FinishReason,
  LoadReport,
  Priority,
} from "@cardamomglade/schema";

/** What to generate, and from where on. */
export interface GenerationOrder {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly priority: Priority;
  /** Token ids of the answer so far; generation continues after them. */
  readonly prefix: readonly number[];
}

/** Which running stream to take up, and from where on. */
export interface AttachOrder {
  readonly requestId: string;
  readonly attempt: number;
  readonly version: string;
  readonly offset: number;
}

/** Why a stream broke. */
export interface StreamBreak {
  readonly type: "connection" | "refused" | "malformed" | "wrongVersion";
  readonly message: string;
}

/** What an engine's stream reports; `finished` or `broken` is last. */
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
  | { readonly type: "broken"; readonly cause: StreamBreak };

/** An open stream. */
export interface EngineStream {
  pause(): void;
  resume(): void;
  /** Stops listening and cancels the engine's work, unless another reader took it up. */
  cancel(): void;
  /** Stops listening; the engine goes on. */
  detach(): void;
}

/** Client of all engines. */
export interface Engines {
  generate(
    url: string,
    order: GenerationOrder,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream;
  /** Takes up a stream that the engine runs or has kept. */
  attach(
    url: string,
    order: AttachOrder,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream;
  /** Whether the engine answers its health check by a deadline. */
  isAlive(url: string, deadline: Timestamp): Promise<boolean>;
  readLoad(url: string, deadline: Timestamp): Promise<LoadReport | undefined>;
  close(): Promise<void>;
}

/** One call of a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: CallMethod;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly deadline: Timestamp;
}

/** How a service call ended; `notSent` is proof that it was not run. */
export type ServiceOutcome =
  | {
      readonly type: "answered";
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | { readonly type: "notSent"; readonly message: string }
  | { readonly type: "unknown"; readonly message: string };

/** Client of all plain services. It never retries. */
export interface Services {
  call(url: string, call: ServiceCall): Promise<ServiceOutcome>;
  close(): Promise<void>;
}
