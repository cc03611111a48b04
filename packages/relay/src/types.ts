/** Types for the relay's inputs: configuration, replicas and caller requests. */

import type { Timestamp } from "@cardamomglade/common";
import type { Handover } from "./decisions/handover/types.js";

/** Whether and how a request may be sent again after it may have been executed. */
export enum RequestKind {
  /** The response is a stream of server-sent events. */
  Streaming = "streaming",
  /** May be executed at most once. */
  NonIdempotent = "nonIdempotent",
  /** May be executed more than once. */
  Idempotent = "idempotent",
}

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Maps requests by host name and path prefix to services, with their handling rules. */
export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly timeoutMs: number;
  /** Latency within which a response has full value for its caller. */
  readonly targetLatencyMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of replicas that one caller request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without an API key. */
  readonly isAnonymousAllowed: boolean;
  /** Whether a stream may resume at another replica after the last delivered event. */
  readonly canResume: boolean;
}

/** Optional capabilities of a service's inference engines. */
export interface EngineCapabilities {
  /** Whether a request's KV cache can be copied to another engine while the request runs. */
  readonly canCopyKvCache: boolean;
  /** Whether a run can be stopped over another connection, and its KV cache moved. */
  readonly canStopRuns: boolean;
  /** Names of the models that they serve; none are known if undefined. */
  readonly modelNames?: readonly string[];
}

/** A set of replicas that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Set if the replicas are inference engines. */
  readonly engine: EngineCapabilities | undefined;
  /** Path at which a healthy replica names its id. */
  readonly healthCheckPath?: string | undefined;
}

/** Limits on the size and duration of caller requests. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer and the API keys of its callers. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** One version of the relay's configuration. */
export interface RelayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: RequestLimits;
  /** Undefined if callers need no API key. */
  readonly customers: readonly Customer[] | undefined;
}

/** State that a replica publishes in its registration. */
export enum ReplicaState {
  Ready = "ready",
  Draining = "draining",
}

/** Host and port on which a process listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `HOST:PORT`. */
export const formatAddress = ({ host, port }: Address): string =>
  `${host}:${String(port)}`;

/** A replica as registered in the store. */
export interface Replica extends Address {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: ReplicaState;
  /** Start time of the replica's process, by its own clock. */
  readonly startedAt: Timestamp;
  /** Version of the replica's software; empty if it names none. Streams go on only within it. */
  readonly softwareVersion: string;
  /** Number of this report of the process about itself; 0 if it has none. */
  readonly reportNumber: number;
  /** Time until which the process is slow after its start; undefined if it names none. */
  readonly warmAt?: Timestamp;
}

/**
 * HTTP status 421: another process now has the replica's address and did not
 * execute the request.
 */
export const misdirectedRequestStatus = 421;

/** Lowest HTTP status of a server's failure. */
export const serverErrorStatus = 500;

/** HTTP status 503: the server is full or stopping. */
export const serviceUnavailableStatus = 503;

/** HTTP statuses that tell a caller that its request was not executed. */
export const notExecutedStatuses: ReadonlySet<number> = new Set([
  408,
  misdirectedRequestStatus,
  429,
  serviceUnavailableStatus,
]);

/** Request limits used if the configuration sets none. */
export const defaultLimits: RequestLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** HTTP header names, all in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  readonly timeBudgetMs: string;
  readonly expectedReplica: string;
  readonly customer: string;
  /** Header with the priority, from 0 (highest) to 9 (lowest). */
  readonly priority: string;
  readonly seal: string;
  readonly notExecuted: string;
  /** Response header with the requests a second that a replica takes from all routers together. */
  readonly requestLimit: string;
  /** Response header with the time at which a replica that turned a request away may be asked again. */
  readonly retryAfter: string;
  /** Response header with the id of the replica that answers a health check. */
  readonly replicaId: string;
  /** Present in the answers of a replica that leaves. */
  readonly leaving: string;
  readonly copyTo: string;
  readonly continueFrom: string;
  readonly lastEventId: string;
  /** Names the attempt of the caller that brought the first event of the stream. */
  readonly resumes: string;
  /** Header that lists the ids of the prompt's blocks. */
  readonly promptBlocks: string;
  /** Header with the numbers of tokens of the prompt and, at most, of the answer. */
  readonly tokenCounts: string;
  /** Headers that only the relay sets; removed from callers' requests. */
  readonly reserved: readonly string[];
}

/** Header names, paths and codecs of the replica protocol; provided by the platform's adapter. */
export interface ReplicaProtocol {
  readonly headers: HeaderNames;
  /** Path of an engine's load report. */
  readonly reportPath: string;
  /** Header value that identifies a KV cache copy by its source engine and handle. */
  readonly formatCopyName: (source: Replica, handle: string) => string;
  /** Path of the request that makes an engine copy a KV cache to another engine. */
  readonly kvCopyPath: string;
  /** Path of the request that releases a KV cache copy. */
  readonly releaseCopyPath: (handle: string) => string;
  readonly encodeCopyRequest: (requestId: string, holder: Replica) => string;
  /** Body of the same request that first stops the run; its stream is closed without its end. */
  readonly encodeStopRequest: (requestId: string, holder: Replica) => string;
  /** Decodes the handle of the copy that was made; undefined if the text holds none. */
  readonly decodeCopyHandle: (text: string) => string | undefined;
  /** Path at which an engine lists the prompt blocks in its KV cache. */
  readonly promptBlocksPath: string;
  /** Path at which an engine lists the blocks that it read and evicted lately. */
  readonly promptHistoryPath: string;
  /** Decodes the ids of the blocks that an engine read lately; none if the text is malformed. */
  readonly decodePromptHistory: (text: string) => readonly string[];
  /** Decodes the number of cached tokens by prompt block id; undefined if the text is malformed. */
  readonly decodePromptBlocks: (
    text: string,
  ) => ReadonlyMap<string, number> | undefined;
  /** Decodes the ids of the prompt blocks that the prompt header lists, in order. */
  readonly decodePromptBlockIds: (header: string) => readonly string[];
  /** Decodes the number of tokens of the prompt; undefined if the header is malformed. */
  readonly decodePromptTokens: (header: string) => number | undefined;
  /** Decodes the number of tokens that an answer may have at most; undefined if the header is malformed. */
  readonly decodeMaxOutputTokens: (header: string) => number | undefined;
  readonly decodeReport: (text: string) => EngineReport | undefined;
}

/** A running request as its engine reports it. */
export interface ReportedRun {
  readonly requestId: string;
  readonly generatedEventCount: number;
  /** Tokens in the KV cache; undefined if the report does not tell. */
  readonly kvTokens?: number | undefined;
}

/** An engine's load report; it is some hundred milliseconds old when it arrives. */
export interface EngineReport {
  /** Start time of the reporting process; undefined if the report does not contain it. */
  readonly startedAt: Timestamp | undefined;
  readonly queued: number;
  readonly active: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  /** Tokens of the first request that waits; undefined if none does. */
  readonly nextTokens?: number | undefined;
  readonly runs: readonly ReportedRun[];
  /** Names of the models that it serves; only engines name any. */
  readonly modelNames?: readonly string[];
  /** Whether it says that it leaves. */
  readonly isLeaving?: boolean;
}

/** A caller's complete request. */
export interface CallerRequest {
  /** The caller's id of this attempt; empty if it sent none. */
  readonly requestId: string;
  readonly hostname: string;
  readonly method: string;
  /** Path with query string, as sent. */
  readonly target: string;
  readonly key: string | undefined;
  /** Digest of method, host name, target, key and body: the same in all repeats of a request. */
  readonly fingerprint: string;
  /** Names and values alternating, as sent, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether the request declared a body, even an empty one. */
  readonly hasBody: boolean;
  readonly arrivedAt: Timestamp;
  /** Time at which the caller stops waiting; undefined if it sent no time budget. */
  readonly callerDeadline: Timestamp | undefined;
  /** Id of the last event that the caller received from an earlier response. */
  readonly lastEventId: number | undefined;
  /** Id of the caller's attempt that brought the first event; undefined if it names none. */
  readonly resumes: string | undefined;
  /** Ids of the prompt blocks that other requests may share: all but the last. */
  readonly sharedPromptBlockIds: readonly string[];
  /** Id of the last prompt block, which no other request shares. */
  readonly lastPromptBlockId: string | undefined;
  /** Tokens of the prompt; undefined if the caller names no such number. */
  readonly promptTokens: number | undefined;
  /** Tokens that the answer may have at most; undefined if the caller names no such number. */
  readonly maxOutputTokens: number | undefined;
  /** What the router told that handed the request on; undefined if a caller sent it here. */
  readonly handover: Handover | undefined;
}
