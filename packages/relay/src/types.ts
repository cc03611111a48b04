/** What the relay knows of the world: configuration, replicas and callers. */

import type { Moment } from "@cardamomglade/common";

/** What may be repeated of a request. */
export enum RequestKind {
  /** A stream of events. */
  Streaming = "streaming",
  /** Runs at most once. */
  NonIdempotent = "nonIdempotent",
  /** May run more than once. */
  Idempotent = "idempotent",
}

/** A service that takes part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host and path go, and how they are handled. */
export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly timeoutMs: number;
  /** Latency within which an answer is worth most to its caller. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Replicas that one caller request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isOpen: boolean;
  /** Whether a stream may go on at another replica after its last event. */
  readonly canResume: boolean;
}

/** What a service's engines can do beyond running requests. */
export interface EngineAbilities {
  /** Keep a copy of a run's memory at another engine while it runs. */
  readonly copies: boolean;
}

/** A set of replicas that take the same requests. */
export interface Service {
  readonly name: string;
  /** Set where the replicas are engines. */
  readonly engine: EngineAbilities | undefined;
}

/** What callers may send, and how long they may take. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer and the keys of its callers. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** One version of the configuration. */
export interface RelayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: RequestLimits;
  /** Undefined where callers need no keys. */
  readonly customers: readonly Customer[] | undefined;
}

/** What a replica says of itself. */
export enum ReplicaState {
  Ready = "ready",
  Draining = "draining",
}

/** Where a process is heard. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** `HOST:PORT`. */
export const addressText = ({ host, port }: Address): string =>
  `${host}:${String(port)}`;

/** A replica as it is registered. */
export interface Replica extends Address {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: ReplicaState;
  /** Start of its process, by its own clock. */
  readonly startedAt: Moment;
}

/** Status by which another process at a replica's address says that it did not run the request. */
export const misdirectedStatus = 421;

/** Limits that hold where the operator states none. */
export const defaultLimits: RequestLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** Names of headers on the wire; all in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  readonly budgetMs: string;
  readonly expectedReplica: string;
  readonly customer: string;
  /** From 0, the most urgent, to 9. */
  readonly urgency: string;
  readonly seal: string;
  readonly notRun: string;
  readonly copyTo: string;
  readonly continueFrom: string;
  readonly lastEventId: string;
  /** Lists the prompt's parts. */
  readonly promptParts: string;
  /** Headers that only the relay sets; dropped from callers' requests. */
  readonly reserved: readonly string[];
}

/** How replicas are called; translated by the platform's adapter. */
export interface ReplicaProtocol {
  readonly headers: HeaderNames;
  /** Path of an engine's report. */
  readonly reportPath: string;
  /** Value that names a copy by its source's address. */
  readonly copyName: (source: Replica, handle: string) => string;
  /** Path at which an engine is asked to copy a run's memory to another one. */
  readonly copyPath: string;
  /** Path at which a copy is freed. */
  readonly dropCopyPath: (handle: string) => string;
  readonly encodeCopy: (requestId: string, holder: Replica) => string;
  /** The name of the copy that was made, or undefined. */
  readonly readCopy: (text: string) => string | undefined;
  /** Path at which an engine lists the parts of prompts that it holds. */
  readonly partsPath: string;
  /** Tokens held by part, or undefined where the text is no such list. */
  readonly readParts: (text: string) => ReadonlyMap<string, number> | undefined;
  /** The last part that a prompt's header names. */
  readonly readLastPart: (header: string) => string | undefined;
  readonly readReport: (text: string) => EngineReport | undefined;
}

/** A run as its engine reports it. */
export interface ReportedRun {
  readonly requestId: string;
  readonly eventsMade: number;
}

/** An engine's report of itself; some hundred milliseconds old. */
export interface EngineReport {
  /** Start of the process that reports; undefined where it does not say. */
  readonly startedAt: Moment | undefined;
  readonly queued: number;
  readonly active: number;
  readonly memoryUsed: number;
  readonly memoryTotal: number;
  readonly runs: readonly ReportedRun[];
}

/** The caller's request, whole. */
export interface CallerRequest {
  /** The caller's id of this attempt; empty where it sent none. */
  readonly requestId: string;
  readonly hostname: string;
  readonly method: string;
  /** Path with query, as sent. */
  readonly target: string;
  readonly key: string | undefined;
  /** Names and values in turn, as sent, without those of one connection. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether it declared a body, even an empty one. */
  readonly hasBody: boolean;
  readonly arrivedAt: Moment;
  /** Moment at which the caller stops waiting; undefined where it did not say. */
  readonly callerDeadline: Moment | undefined;
  /** Last event that the caller has of an earlier answer. */
  readonly lastEventId: number | undefined;
  /** Id of the part of its prompt that no other request shares. */
  readonly lastPart: string | undefined;
}
