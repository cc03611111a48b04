/** Types of responses of replicas and other routers. */

import type { Replica } from "../../types.js";
import type { HandoverRefusal } from "../handover/types.js";

/** How the end of a response's body is found. */
export enum BodyFraming {
  /** The head states the length. */
  Length = "length",
  /** The last chunk ends it. */
  Chunked = "chunked",
  /** It ends when its connection closes. */
  Connection = "connection",
}

/** Status and headers of a replica's response. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values alternating, as sent, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly seal: string | undefined;
  readonly isStream: boolean;
  readonly framing: BodyFraming;
  /** Whether the replica states that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** Requests a second that the replica takes from all routers; undefined if it names no limit. */
  readonly requestLimitPerS: number | undefined;
  /** The process that answers; undefined if another router refused the request. */
  readonly answeredBy: AnsweringReplica | undefined;
  /** What another router says of a request that was handed on to it; undefined in a replica's own answer. */
  readonly handedBack: HandedBack | undefined;
}

/** A replica's process that answers. */
export interface AnsweringReplica extends Pick<
  Replica,
  "id" | "startedAt" | "softwareVersion"
> {
  /** Id of the engine that keeps a KV cache copy from the start of the run. */
  readonly copyHolder?: string | undefined;
}

/** What another router says of a request that it does not serve. */
export interface HandedBack {
  /** Why it did not take the request over; undefined if it did. */
  readonly refusal: HandoverRefusal | undefined;
  /** Time after which it may be asked again. */
  readonly retryAfterMs: number | undefined;
}

/** One server-sent event, byte for byte as the replica sent it. */
export interface StreamEvent {
  readonly id: number;
  readonly bytes: Uint8Array;
}

/** A replica's complete response, buffered. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}
