/** State of the router process; its events and commands stand beside. */

import type { Moment } from "@cardamomglade/common";
import type {
  AdmissionState,
  CallEnd,
  ConfigInForce,
  EnginePace,
  ExecutionState,
  HostMarks,
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

/** Where a returning caller stands in an answer that an earlier connection began. */
export interface ReturnPoint {
  readonly attempt: number;
  readonly backEnd: string;
  readonly offset: number;
  readonly deployment: string;
  /** Number of the first new attempt. */
  readonly firstAttempt: number;
  /** Proved ids of the delivered tokens; without them only the engine's own stream can go on. */
  readonly prefix?: readonly number[];
  /** Text that the caller holds. */
  readonly text: string;
}

/** Which attempt delivered tokens come from. */
export interface AnswerSource {
  readonly deployment: string;
  readonly version: string;
  readonly attempt: number;
  readonly backEnd: string;
}

/** A generation as a caller asked for it. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly priority: Priority;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
  readonly deadline: Moment;
  readonly returnPoint?: ReturnPoint;
}

/** Text before and after the start of a continuation. */
export interface StopBorder {
  readonly before: string;
  after: string;
}

/** An admitted or waiting generation and the deployment that serves it. */
export interface WaitingGeneration {
  readonly request: GenerationRequest;
  readonly deployment: Deployment;
}

/** One stream with what is needed to open further attempts; owned by the fold. */
export interface StreamEntry {
  readonly request: GenerationRequest;
  readonly deployment: Deployment;
  /** Ids of all accepted tokens; the fold appends in place. */
  readonly accepted: number[];
  /** Back ends of open attempts, by attempt; each is counted in flight. */
  readonly open: Map<number, string>;
  /** Tokens that wait until a move has succeeded or failed. */
  held: EngineToken[];
  /** Texts around the start of each continuation, while a stop sequence may cross it; by attempt. */
  readonly borders: Map<number, StopBorder>;
  /** The answer's last characters, as many as the longest stop sequence. */
  tail: string;
  stream: StreamState;
}

/** A call of a plain service as a caller asked for it. */
export interface ServiceRequest {
  readonly customer: string;
  readonly service: string;
  /** Idempotency key; set where the call may not be repeated. */
  readonly key?: string;
  readonly call: ServiceCall;
}

/** One service call under way. */
export interface ServiceEntry {
  readonly request: ServiceRequest;
  readonly backEnd?: string;
}

/** Where a claim of this router stands. */
export type ClaimPhase =
  | { readonly type: "asking"; readonly askAt: Moment }
  | { readonly type: "calling" }
  | {
      /** The end is reported until it is confirmed, and kept until `keepUntil`. */
      readonly type: "ended";
      readonly end: CallEnd;
      readonly reportAt: Moment;
      readonly keepUntil: Moment;
    };

/** The claim of a non-repeatable call that a caller sent to this router. */
export interface OriginClaim {
  readonly requestId: string;
  readonly shard: number;
  readonly key: string;
  readonly bodyHash: string;
  readonly askedAt: Moment;
  readonly deadline: Moment;
  phase: ClaimPhase;
}

/** The ledger of non-repeatable calls as this router sees it; changed in place by the fold. */
export interface LedgerState {
  readonly shardCount: number;
  readonly limits: ShardLimits;
  /** Holders by role, as last read. */
  holders: ReadonlyMap<string, string>;
  /** Moment of the next look at the placement; undefined until holders were read. */
  planAt: Moment | undefined;
  /** Shards that this router holds. */
  readonly shards: Map<number, ShardState>;
  /** Claims of this router's callers, by request. */
  readonly claims: Map<string, OriginClaim>;
}

/** A role's holder key. */
export interface RoleHolder {
  readonly role: string;
  readonly router: string;
}

/** How this router gets the configuration: by its own watch or by its peers. */
export interface ConfigMesh {
  readonly isWatching: boolean;
  /** Whether this router pursues the executor role. */
  readonly isExecutorCandidate: boolean;
  /** When a peer is asked next. */
  readonly askAt: Moment;
  readonly asked: number;
}

/** State of the router process. Maps are owned by the fold and changed in place. */
export interface RouterState {
  readonly router: RouterIdentity;
  readonly draining: boolean;
  /** Whether the balancer is told to send no more. */
  readonly unready: boolean;
  readonly config: ConfigInForce;
  readonly configMesh: ConfigMesh;
  readonly execution: ExecutionState;
  /** Hosts that the platform's list marks as leaving. */
  readonly hostMarks: HostMarks;
  /** When leaving hosts are looked at next. */
  readonly drainLookAt: Moment;
  readonly routing: RoutingState;
  readonly streams: Map<string, StreamEntry>;
  readonly serviceCalls: Map<string, ServiceEntry>;
  readonly ledger: LedgerState;
  /** Token times seen of each engine. */
  readonly engines: Map<string, EnginePace>;
  /** Moment of the last tick. */
  readonly tickedAt: Moment | undefined;
  /** Pursued roles by name. */
  readonly leases: Map<string, LeaseState>;
  readonly leaseTtlMs: number;
  /** Routers with an open link to this one. */
  readonly linkedPeers: ReadonlySet<string>;
  readonly membership: MembershipState;
  readonly admission: AdmissionState;
  /** Generations that wait for a slot, by request. */
  readonly waiting: Map<string, WaitingGeneration>;
  readonly limits: LimitsState;
  readonly retryBudgets: RetryBudgets;
}
