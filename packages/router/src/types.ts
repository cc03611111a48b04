/** State of the router process. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  AdmissionState,
  CallEnd,
  ActiveConfig,
  EngineLatency,
  ExecutionState,
  LeavingHostMarks,
  LeaseState,
  LimitsState,
  MembershipState,
  RetryBudgets,
  RoutingState,
  ShardLimits,
  ShardState,
  StreamState,
} from "@cardamomglade/decisions";
import type {
  Deployment,
  EngineToken,
  Priority,
  RouterIdentity,
} from "@cardamomglade/schema";
import type { ServiceCall } from "@cardamomglade/upstream";

export type { RouterCommand, RouterCommandOf } from "./commands.js";
export type { RouterEvent, RouterEventOf } from "./events.js";

/** Position at which a reconnecting caller resumes an answer that an earlier connection began. */
export interface ResumePoint {
  readonly attempt: number;
  readonly backEnd: string;
  readonly offset: number;
  readonly deployment: string;
  /** Number of the first attempt that this router opens. */
  readonly firstAttempt: number;
  /** Verified ids of the delivered tokens; without them the answer can only continue from the stream that the engine still holds. */
  readonly prefix?: readonly number[];
  /** Text that the caller has already received. */
  readonly text: string;
}

/** The attempt that produced the delivered tokens. */
export interface AnswerSource {
  readonly deployment: string;
  readonly version: string;
  readonly attempt: number;
  readonly backEnd: string;
}

/** A caller's request for a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly priority: Priority;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly deadline: Timestamp;
  readonly resumePoint?: ResumePoint;
}

/** Text on both sides of the point where a new attempt continues an answer. */
export interface ContinuationBoundary {
  readonly before: string;
  after: string;
}

/** An admitted or queued generation and the deployment that serves it. */
export interface QueuedGeneration {
  readonly request: GenerationRequest;
  readonly deployment: Deployment;
}

/** One stream with the data for opening further attempts; changed in place by the actions. */
export interface StreamEntry {
  readonly request: GenerationRequest;
  readonly deployment: Deployment;
  /** Ids of all accepted tokens; appended in place. */
  readonly acceptedTokenIds: number[];
  /** Back ends of the open attempts, by attempt number; each counts as in flight. */
  readonly openAttempts: Map<number, string>;
  /** Tokens buffered until the migration of the stream has succeeded or failed. */
  bufferedTokens: EngineToken[];
  /** Text around the start of each continuation, by attempt number; kept while a stop sequence may span it. */
  readonly continuationBoundaries: Map<number, ContinuationBoundary>;
  /** The last characters of the answer, as many as the longest stop sequence has. */
  tail: string;
  stream: StreamState;
}

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly customer: string;
  readonly service: string;
  /** Idempotency key; set if the call must not be repeated. */
  readonly key?: string;
  readonly call: ServiceCall;
}

/** One service call in flight. */
export interface ServiceEntry {
  readonly request: ServiceRequest;
  readonly backEnd?: string;
}

/** Progress of a claim made by this router. */
export type ClaimPhase =
  | { readonly type: "requesting"; readonly nextRequestAt: Timestamp }
  | { readonly type: "calling" }
  | {
      /** The outcome is reported repeatedly until the shard's holder confirms it, and kept until `keepUntil`. */
      readonly type: "ended";
      readonly end: CallEnd;
      readonly nextReportAt: Timestamp;
      readonly keepUntil: Timestamp;
    };

/** The claim for a non-repeatable call that this router received from a caller. */
export interface OriginClaim {
  readonly requestId: string;
  readonly shard: number;
  readonly key: string;
  readonly bodyHash: string;
  readonly requestedAt: Timestamp;
  readonly deadline: Timestamp;
  phase: ClaimPhase;
}

/** This router's view of the ledger of non-repeatable calls; changed in place by the actions. */
export interface LedgerState {
  readonly shardCount: number;
  readonly limits: ShardLimits;
  /** Lease holders by role, as last read. */
  holders: ReadonlyMap<string, string>;
  /** When shard placement is evaluated next; undefined until the holders have been read. */
  nextPlacementAt: Timestamp | undefined;
  /** Shards whose lease this router holds. */
  readonly shards: Map<number, ShardState>;
  /** Claims for calls that this router received, by request id. */
  readonly claims: Map<string, OriginClaim>;
}

/** A role and the router that holds its lease. */
export interface RoleHolder {
  readonly role: string;
  readonly router: string;
}

/** How this router receives configuration changes: through its own watch on the store or from its peers. */
export interface ConfigSync {
  readonly isWatching: boolean;
  /** Whether this router tries to acquire the executor role. */
  readonly isExecutorCandidate: boolean;
  /** When the next peer is asked for its configuration. */
  readonly nextRequestAt: Timestamp;
  /** Requests sent to peers so far; selects the next peer in turn. */
  readonly peerRequestCount: number;
}

/** State of the router process. Its maps are changed in place by the actions. */
export interface RouterState {
  readonly router: RouterIdentity;
  readonly isDraining: boolean;
  /** Whether the readiness check fails, so that the load balancer stops sending new requests. */
  readonly isReportedUnready: boolean;
  readonly config: ActiveConfig;
  readonly configSync: ConfigSync;
  readonly execution: ExecutionState;
  /** Hosts that the platform's host list marks as leaving. */
  readonly hostMarks: LeavingHostMarks;
  /** When the drain of leaving hosts is checked next. */
  readonly nextDrainCheckAt: Timestamp;
  readonly routing: RoutingState;
  readonly streams: Map<string, StreamEntry>;
  readonly serviceCalls: Map<string, ServiceEntry>;
  readonly ledger: LedgerState;
  /** Observed token latencies by engine name. */
  readonly engineLatencies: Map<string, EngineLatency>;
  /** Time of the last timer tick. */
  readonly lastTickAt: Timestamp | undefined;
  /** Leases that this router holds or tries to acquire, by role. */
  readonly leases: Map<string, LeaseState>;
  readonly leaseTtlMs: number;
  /** Routers with an open link to this one. */
  readonly linkedPeers: ReadonlySet<string>;
  readonly membership: MembershipState;
  readonly admission: AdmissionState;
  /** Generations queued for a free slot, by request id. */
  readonly queuedGenerations: Map<string, QueuedGeneration>;
  readonly limits: LimitsState;
  readonly retryBudgets: RetryBudgets;
}
