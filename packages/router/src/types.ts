/** State, events and commands of the router process. */

import type { Moment } from "@cardamomglade/common";
import type {
  AcceptedConfig,
  AdmissionState,
  AttemptFailure,
  CallEnd,
  Commit,
  ConfigInForce,
  EngineObservation,
  EngineOrder,
  EnginePace,
  ExecutionCommand,
  ExecutionState,
  HostMarks,
  LeaseCall,
  LeaseEvent,
  LeaseState,
  LimitsState,
  LoadNews,
  MembershipState,
  RetryBudgets,
  RoutingState,
  ShardEvent,
  ShardLimits,
  ShardState,
  StreamState,
} from "@cardamomglade/decisions";
import type {
  CacheEvents,
  Deployment,
  EngineToken,
  FinishReason,
  ListedHost,
  PeerMessage,
  Priority,
  RecordedAnswer,
  RouterIdentity,
  TimelineEvent,
} from "@cardamomglade/schema";
import type {
  AttachOrder,
  GenerationOrder,
  ServiceCall,
  ServiceOutcome,
} from "@cardamomglade/upstream";
import type { ApiError } from "./errors.js";

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

/** What happens to the router process. */
export type RouterEvent =
  | {
      readonly type: "configurationRead";
      readonly at: Moment;
      readonly accepted: AcceptedConfig;
      /** Where it was read; the store where nothing is said. */
      readonly source?: string;
    }
  | {
      readonly type: "generationArrived";
      readonly at: Moment;
      readonly request: GenerationRequest;
    }
  | {
      readonly type: "callerLeft";
      readonly at: Moment;
      readonly requestId: string;
    }
  | {
      readonly type: "tokensReceived";
      readonly at: Moment;
      readonly requestId: string;
      readonly attempt: number;
      readonly offset: number;
      readonly tokens: readonly EngineToken[];
    }
  | {
      readonly type: "attemptEnded";
      readonly at: Moment;
      readonly requestId: string;
      readonly attempt: number;
      readonly offset: number;
      readonly reason: FinishReason;
    }
  | {
      readonly type: "attemptBroken";
      readonly at: Moment;
      readonly requestId: string;
      readonly attempt: number;
      readonly failure: AttemptFailure;
    }
  | {
      readonly type: "backEndProbed";
      readonly at: Moment;
      readonly requestId: string;
      readonly attempt: number;
      readonly isAlive: boolean;
    }
  | {
      readonly type: "callerSlow";
      readonly at: Moment;
      readonly requestId: string;
    }
  | {
      readonly type: "callerReady";
      readonly at: Moment;
      readonly requestId: string;
    }
  | {
      readonly type: "serviceCallArrived";
      readonly at: Moment;
      readonly request: ServiceRequest;
    }
  | {
      readonly type: "serviceCallEnded";
      readonly at: Moment;
      readonly requestId: string;
      readonly outcome: ServiceOutcome;
    }
  | {
      readonly type: "holdersRead";
      readonly at: Moment;
      readonly holders: readonly RoleHolder[];
    }
  | {
      readonly type: "shardReported";
      readonly at: Moment;
      readonly shard: number;
      readonly fencing: number;
      readonly report: ShardEvent;
    }
  | {
      readonly type: "leaseAnswered";
      readonly at: Moment;
      readonly role: string;
      readonly answer: LeaseEvent;
    }
  | {
      readonly type: "peerLinked";
      readonly at: Moment;
      readonly peer: string;
    }
  | {
      readonly type: "peerLost";
      readonly at: Moment;
      readonly peer: string;
    }
  | {
      readonly type: "peerMessageReceived";
      readonly at: Moment;
      readonly peer: string;
      readonly message: PeerMessage;
    }
  | {
      readonly type: "loadRead";
      readonly at: Moment;
      readonly backEnd: string;
      readonly news: LoadNews;
    }
  | {
      readonly type: "cacheEventsRead";
      readonly at: Moment;
      readonly backEnd: string;
      readonly read: CacheEvents;
    }
  | {
      readonly type: "addressesBound";
      readonly at: Moment;
      readonly peersUrl: string;
      readonly callersUrl: string;
      readonly administrationUrl: string;
    }
  | { readonly type: "timePassed"; readonly at: Moment }
  | {
      readonly type: "hostListRead";
      readonly at: Moment;
      readonly hosts: readonly ListedHost[];
    }
  | {
      readonly type: "enginesObserved";
      readonly at: Moment;
      readonly observed: ReadonlyMap<string, EngineObservation>;
      readonly bytesPerSecond: number;
    }
  | {
      readonly type: "orderAnswered";
      readonly at: Moment;
      readonly order: EngineOrder;
      /** Undefined where the engine took the order. */
      readonly reason: string | undefined;
    }
  | { readonly type: "drainAnnounced"; readonly at: Moment }
  | { readonly type: "graceEnded"; readonly at: Moment }
  | { readonly type: "drainStarted"; readonly at: Moment };

/** One event by its type. */
export type RouterEventOf<T extends RouterEvent["type"]> = Extract<
  RouterEvent,
  { type: T }
>;

/** What the router process does. */
export type RouterCommand =
  | {
      readonly type: "openAttempt";
      readonly url: string;
      readonly order: GenerationOrder;
    }
  | {
      readonly type: "attachAttempt";
      readonly url: string;
      readonly order: AttachOrder;
    }
  | {
      readonly type: "cancelAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "detachAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "pauseAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "resumeAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "probeBackEnd";
      readonly requestId: string;
      readonly attempt: number;
      readonly url: string;
      readonly deadline: Moment;
    }
  | {
      readonly type: "deliver";
      readonly requestId: string;
      readonly source: AnswerSource;
      readonly offset: number;
      readonly tokens: readonly EngineToken[];
    }
  | {
      readonly type: "finishAnswer";
      readonly requestId: string;
      readonly reason: FinishReason;
      readonly completionTokens: number;
    }
  | {
      readonly type: "failAnswer";
      readonly requestId: string;
      readonly error: ApiError;
    }
  | {
      readonly type: "callService";
      readonly url: string;
      readonly call: ServiceCall;
    }
  | {
      readonly type: "answerCall";
      readonly requestId: string;
      readonly answer: RecordedAnswer;
    }
  | {
      readonly type: "readShard";
      readonly shard: number;
      readonly fencing: number;
      readonly deadline: Moment;
    }
  | {
      readonly type: "commitShard";
      readonly shard: number;
      readonly fencing: number;
      readonly commit: Commit;
      readonly deadline: Moment;
    }
  | {
      readonly type: "wakeShard";
      readonly shard: number;
      readonly fencing: number;
      readonly wakeAt: Moment;
    }
  | {
      /** A message to this router itself, as if a peer had sent it. */
      readonly type: "loopBack";
      readonly message: PeerMessage;
    }
  | {
      readonly type: "leaseCall";
      readonly role: string;
      readonly call: LeaseCall;
    }
  | {
      readonly type: "sendToPeer";
      readonly peer: string;
      readonly message: PeerMessage;
    }
  | { readonly type: "execute"; readonly command: ExecutionCommand }
  | { readonly type: "connectPeer"; readonly url: string }
  | { readonly type: "forgetPeer"; readonly url: string }
  | {
      readonly type: "watchConfiguration";
      readonly isWatching: boolean;
    }
  | {
      readonly type: "record";
      readonly event: Omit<TimelineEvent, "at" | "process">;
    };

/** One command by its type. */
export type RouterCommandOf<T extends RouterCommand["type"]> = Extract<
  RouterCommand,
  { type: T }
>;
