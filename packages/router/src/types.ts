/** State, events and commands of the router process. */

import type { Moment } from "@cardamomglade/common";
import type {
  AcceptedConfig,
  AttemptFailure,
  ClaimOutcome,
  ConfigInForce,
  EnginePace,
  RecordedAnswer,
  RoutingState,
  StreamState,
} from "@cardamomglade/decisions";
import type {
  Deployment,
  EngineToken,
  FinishReason,
  PeerMessage,
  Priority,
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

/** State of the router process. Maps are owned by the fold and changed in place. */
export interface RouterState {
  readonly router: RouterIdentity;
  readonly draining: boolean;
  readonly config: ConfigInForce;
  readonly routing: RoutingState;
  readonly streams: Map<string, StreamEntry>;
  readonly serviceCalls: Map<string, ServiceEntry>;
  /** Token times seen of each engine. */
  readonly engines: Map<string, EnginePace>;
  /** Moment of the last tick. */
  readonly tickedAt: Moment | undefined;
  /** Routers with an open link to this one. */
  readonly linkedPeers: ReadonlySet<string>;
  /** Peer addresses of known routers, by name. */
  readonly peerUrls: ReadonlyMap<string, string>;
}

/** What happens to the router process. */
export type RouterEvent =
  | {
      readonly type: "configurationRead";
      readonly at: Moment;
      readonly accepted: AcceptedConfig;
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
      readonly type: "claimResolved";
      readonly at: Moment;
      readonly requestId: string;
      readonly outcome: ClaimOutcome;
    }
  | {
      readonly type: "serviceCallEnded";
      readonly at: Moment;
      readonly requestId: string;
      readonly outcome: ServiceOutcome;
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
  | { readonly type: "timePassed"; readonly at: Moment }
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
      readonly type: "claimCall";
      readonly requestId: string;
      readonly customer: string;
      readonly key: string;
      readonly body: string;
      readonly deadline: Moment;
    }
  | {
      readonly type: "callService";
      readonly url: string;
      readonly call: ServiceCall;
    }
  | {
      readonly type: "recordAnswer";
      readonly requestId: string;
      readonly answer: RecordedAnswer;
    }
  | {
      readonly type: "answerCall";
      readonly requestId: string;
      readonly answer: RecordedAnswer;
    }
  | {
      readonly type: "sendToPeer";
      readonly peer: string;
      readonly message: PeerMessage;
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
