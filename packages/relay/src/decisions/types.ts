/** State of the relay's decision logic. */

import type { RandomState, Timestamp } from "@cardamomglade/common";
import type {
  CallerRequest,
  EngineReport,
  RelayConfig,
  Replica,
  Route,
  Address,
} from "../types.js";
import type { AdoptionState } from "./adoptedReplicas/types.js";
import type { EndEvidence, UnconfirmedEnd } from "./answerEnds/types.js";
import type { BackOff, BackOffState, Reopening } from "./backOff/types.js";
import type { EarlierRun, RunEndWait } from "./earlierRuns/types.js";
import type { Fallback } from "./fallback/types.js";
import type { GossipState } from "./gossip/types.js";
import type {
  HandoverAttempt,
  HandoverRefusal,
  HandoverState,
} from "./handover/types.js";
import type { Path } from "./paths/types.js";
import type { AnswerTimes, PlannedStop } from "./plannedStop/types.js";
import type { QuarantineState } from "./quarantine/types.js";
import type { FruitlessAttempts, ResumptionWait } from "./resumption/types.js";
import type {
  RolloutAim,
  RolloutLimits,
  RolloutReason,
  RolloutState,
} from "./rollout/types.js";
import type { RouteTable } from "./routeTable.js";
import type { SecondTryState, SlowAnswer } from "./secondTry/types.js";
import type {
  ClassTimes,
  TimesByClass,
  UnloadedTime,
  UnsharedTimes,
} from "./serviceTimes/types.js";
import type {
  OriginQuery,
  VersionSearch,
  VersionState,
} from "./versions/types.js";
import type {
  RoomSearch,
  RoomWait,
  WaitingLineState,
} from "./waitingLine/types.js";

/** Numbers of attempts that succeeded and failed. */
export interface OutcomeCounts {
  succeeded: number;
  failed: number;
}

/** Outcomes at one replica, as routers tell them each other. */
export interface ReplicaOutcomes extends Readonly<OutcomeCounts> {
  readonly replica: string;
  /** Times of answers; none from routers that tell only outcomes. */
  readonly times: readonly ClassTimes[];
}

/** This process's local view of one replica. */
export interface ReplicaView {
  replica: Replica;
  /** This router's attempts in flight. */
  inFlight: number;
  /** This router's attempts whose prompt is still in prefill. */
  prefilling: number;
  /** Time of the last response, event or probe answer from the replica. */
  heardAt: Timestamp;
  /** The replica is suspected and avoided until this time. */
  suspectUntil: Timestamp;
  /** Send time of the probe in flight; undefined if there is none. */
  probeSentAt: Timestamp | undefined;
  /** Send time of one that only connects, as the replica wants no requests. */
  bareProbeSentAt: Timestamp | undefined;
  /** Times of the latest streams of this replica alone, by class of work. */
  readonly answerTimes: Map<string, AnswerTimes>;
  /** Recent outcomes of all routers' attempts; they lose weight with time from the given one on. */
  readonly outcomes: OutcomeCounts;
  outcomesCountedAt: Timestamp;
  /** Outcomes of this router's attempts that other routers do not know yet. */
  unsharedOutcomes: OutcomeCounts;
  /** Times of recent answers that are no streams, to all routers. */
  readonly serviceTimes: TimesByClass;
  /** Times of answers to this router that other routers do not know yet. */
  readonly unsharedTimes: UnsharedTimes;
  /** Latest load report, and the time at which it was received. */
  report: EngineReport | undefined;
  reportReceivedAt: Timestamp;
  /**
   * Cached tokens by prompt block, 0 for one that was evicted, the time at which
   * the list was received, and the time of the last request for it.
   */
  promptBlocks: ReadonlyMap<string, number> | undefined;
  promptBlocksReadAt: Timestamp;
  promptBlocksRequestedAt: Timestamp;
  /** Time at which an attempt at this replica was last lost. */
  lastLossAt: Timestamp;
  /** Time at which draining or removal was first seen; undefined while the replica stays. */
  drainingSince: Timestamp | undefined;
  /** Time at which the entry of a replica that drains was first missing. */
  leftAt: Timestamp | undefined;
  /** Whether an answer of the process said that it leaves; no store entry of the process takes that back. */
  hasAnnouncedLeaving: boolean;
  /** Time at which another process was found at the replica's address. */
  replacedAt: Timestamp | undefined;
  /** Time that an answer of the process named to this router; undefined before the first. */
  backOff: BackOff | undefined;
  /** What its answers say about its limit of requests; undefined before the first limit. */
  requestLimit: RequestLimit | undefined;
}

/** What a replica's answers say about the requests that it takes from all routers together. */
export interface RequestLimit {
  /** Requests a second; undefined if the latest answer names no limit. */
  readonly perS: number | undefined;
  /** Time of the latest answer, at whichever router. */
  readonly namedAt: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
  /** Number of the service's replicas at the time of that answer. */
  readonly replicaCount: number;
  /** From then on, this router may send the next request. */
  nextAt: Timestamp;
}

/** How an attempt starts: from the prompt, or from a KV cache copy. */
export type AttemptStart =
  | { readonly type: "fresh" }
  | { readonly type: "copy"; readonly copy: KvCacheCopy };

/** A copy of a request's KV cache at another engine. */
export interface KvCacheCopy {
  readonly holder: Replica;
  /** Engine whose address identifies the copy. */
  readonly source: Replica;
  readonly handle: string;
  readonly createdAt: Timestamp;
}

/** One attempt: a request sent to one replica. */
export interface Attempt {
  readonly number: number;
  readonly replica: Replica;
  readonly start: AttemptStart;
  readonly sentAt: Timestamp;
  /** Time by which its answer was expected to end when it was sent; undefined unless this process was stopping. */
  readonly expectedEndAt: Timestamp | undefined;
  /** Its prompt's reading time as a multiple of that at an idle engine; undefined if its engine read other prompts as well, or its load was not known. */
  readonly readingFactor: number | undefined;
  /** Whether the request may have been executed before this attempt. */
  readonly mayHaveExecutedBefore: boolean;
  /** Whether it counts against the route's maximum: another one at its replica may do so already. */
  readonly isCounted: boolean;
  /** Engine that keeps a KV cache copy from the start of the attempt. */
  readonly copyTo: Replica | undefined;
  /** Latest copy of the request's KV cache. */
  copy: KvCacheCopy | undefined;
  /** Time at which another copy was requested; undefined if no copy request is pending. */
  copyRequestedAt: Timestamp | undefined;
  /** Ids of engines that could not hold a copy for this attempt. */
  readonly rejectedHolders: Set<string>;
  /** Whether its connection was established. */
  isConnected: boolean;
  heardAt: Timestamp;
  /** Time at which its replica last took a part of the request, or sent one of the answer; the time of sending before that. */
  progressedAt: Timestamp;
  /** Whether its answer waits for memory of this process. */
  isHeldBack: boolean;
  hasEvents: boolean;
  /** Response head of a stream that has started. */
  head: ResponseHead | undefined;
  /** Number of events received, and the time of the first. */
  eventCount: number;
  firstEventAt: Timestamp | undefined;
  /** Whether the answer went on after its first events: the engine survived the prompt. */
  isEstablished: boolean;
  /** Set while the replica is asked whether its answer, whose connection has ended, is whole. */
  unconfirmedEnd: UnconfirmedEnd | undefined;
  /** What the replica said to that; undefined if it was not asked. */
  endEvidence: EndEvidence | undefined;
  /** Number of questions to stop its run that may have reached the replica. */
  stopCount: number;
  /** Whether its time was counted, or that it took too long. */
  isTimed: boolean;
  /** Whether its answer was counted for a roll-out. */
  isJudged?: boolean;
  /** Whether a long pause of its stream was. */
  isPauseJudged?: boolean;
}

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

/** Query of some engines before a request is sent: for load reports or for cached prompt blocks. */
export interface EngineQuery {
  readonly type: "loadReports" | "promptBlocks";
  readonly sample: ReadonlySet<string>;
  /** Engines that have not answered yet. */
  readonly pending: Set<string>;
  readonly until: Timestamp;
}

/** One caller request in progress. */
export interface Exchange {
  readonly key: string;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly customer: string | undefined;
  /** The customer's priority, or else the route's; 0 is the highest. */
  readonly priority: number;
  /** Time at which the request had been read whole. */
  readonly readAt: Timestamp;
  /** Time by which it has to be sent to a replica to end before a planned stop does; undefined while this process does not stop, and for a stream that had begun by then. */
  startBy: Timestamp | undefined;
  /** Time by which the response must be complete. */
  readonly deadline: Timestamp;
  attempt: Attempt | undefined;
  /** Earlier attempt that stays open while another replica is asked; undefined if there is none. */
  fallback: Fallback | undefined;
  /** The slow answer that a second try is for; undefined while no answer is slow. */
  slowAnswer: SlowAnswer | undefined;
  /** Time from which another replica may be asked for a silent attempt. */
  seekAt: Timestamp;
  /** Number of times that this found none. */
  failedSeekCount: number;
  /** Number of attempts that count against the route's maximum. */
  attempts: number;
  /** Ids of the replicas whose attempts do. */
  readonly countedIds: Set<string>;
  /** Number of the next attempt; also counts attempts that did not connect. */
  nextNumber: number;
  readonly triedIds: Set<string>;
  /** Number of times that the request was handed on. */
  handoverCount: number;
  /** Addresses of routers that lost the request. */
  readonly triedRouters: Set<string>;
  /** The request ends if no router takes it until then; undefined before it waited for one. */
  offerDeadline: Timestamp | undefined;
  /** Number of attempts whose connection was not established. */
  failedConnectionCount: number;
  /** Number of counted attempts that full replicas refused without executing them. */
  refusedAttempts: number;
  /** Attempts since a stream made progress last. */
  fruitless: FruitlessAttempts;
  /** Number of engines that ended while this request was about to be answered. */
  endedEngineCount: number;
  /** Whether any replica may have started to execute the request. */
  mayHaveExecuted: boolean;
  /** Response head sent to the caller; set once a stream has started. */
  head: ResponseHead | undefined;
  /** Id of the last event delivered to the caller, by this or an earlier response. */
  lastEventId: number;
  /** What the request waits for before it is sent. */
  wait: Wait;
  /** Software version at which the stream began; it goes on only there. Undefined before the first event. */
  softwareVersion: string | undefined;
  /** Version to which a roll-out sends the request; undefined without one. */
  rolloutAim?: RolloutAim;
  /** Why. */
  rolloutReason?: RolloutReason;
  /** The stream ends if no replica of its software is open until then; undefined before it waited for one. */
  versionDeadline: Timestamp | undefined;
  /** Its search for an engine with room; undefined before one was needed. */
  roomSearch: RoomSearch | undefined;
  /** KV cache copy left by the last attempt. */
  copy: KvCacheCopy | undefined;
  /** KV cache that the engine of a stopped run keeps, for when the copy's holder refuses. */
  keptCopy: KvCacheCopy | undefined;
  /** Last failed response of a replica, delivered if no other attempt is possible. */
  failedResponse: BufferedResponse | undefined;
}

/** Questions whose answers decide where a request is sent. */
export interface Questions {
  /** Engines that are asked; undefined before they are chosen. */
  readonly engineQuery: EngineQuery | undefined;
  /** Routers that are asked where the stream began; undefined if none is. */
  readonly originQuery: OriginQuery | undefined;
  /** Whether the version of a stream that the caller takes up is looked for. */
  readonly versionSearch: VersionSearch;
}

/** What a request waits for before it is sent, or sent again. */
export type Wait =
  /** Nothing: it is being sent, or under way. */
  | { readonly type: "none" }
  /** Answers of engines and routers. */
  | (Questions & { readonly type: "answers" })
  /** A retry that another router lends. */
  | (Borrowing & { readonly type: "retry" })
  /** Its permit at a replica that limits requests. */
  | (ReservedPermit & { readonly type: "permit" })
  /** A replica that asked for no requests until a time; the request is sent then. */
  | (Reopening & {
      readonly type: "reopening";
      /** It looks for another replica then. */
      readonly lookAt: Timestamp;
    })
  /** A replica of the software at which the stream began; it looks again then. */
  | {
      readonly type: "version";
      readonly retryAt: Timestamp;
      /** Whether its next execution is in the retry budget already. */
      readonly isCounted: boolean;
    }
  /** A router that takes it over. */
  | {
      readonly type: "offer";
      readonly isCounted: boolean;
      /** It is handed on then at the earliest. */
      readonly retryAt: Timestamp;
    }
  /** The end of a pause, as the stream makes no progress. */
  | (ResumptionWait & { readonly type: "resumption" })
  /** Room at an engine. */
  | (RoomWait & { readonly type: "room" })
  /** The end of the run that it left. */
  | (RunEndWait & { readonly type: "runEnd" })
  /** The answer of the router that took it over. */
  | { readonly type: "router"; readonly attempt: HandoverAttempt };

/** The wait of a request that waits for nothing. */
export const noWait: Wait = { type: "none" };

/** A permit at a replica that limits requests. */
export interface ReservedPermit {
  readonly replica: string;
  readonly at: Timestamp;
}

/** Requests to other routers to lend a retry from their budgets. */
export interface Borrowing {
  /** Why the request needs a retry. */
  readonly reason: string;
  /** Number of rounds of requests so far. */
  readonly rounds: number;
  readonly until: Timestamp;
}

/** A replica's complete response, buffered. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}

/** Why an attempt ended without a response. */
export enum AttemptFailure {
  /** No connection was established, so the request was not sent. */
  NotSent = "notSent",
  /** The connection closed before the response was complete. */
  Broken = "broken",
  /** The response is invalid or does not belong to this request. */
  Malformed = "malformed",
}

/** Availability of the store. */
export type StoreState =
  | { readonly type: "unknown" }
  | {
      readonly type: "available";
      /** End of the last outage; -Infinity if there was none. */
      readonly since: Timestamp;
    }
  | { readonly type: "unavailable"; readonly since: Timestamp };

/** Returns of the store from a copy. */
export interface Restorations {
  count: number;
  latestAt: Timestamp;
  /** Era of the store since then; undefined before the first. */
  era: number | undefined;
}

/** A replica's process whose answer said that it leaves. */
export interface LeavingProcess {
  readonly replica: string;
  readonly startedAt: Timestamp;
  /** Time of the first such answer, at whichever router. */
  readonly announcedAt: Timestamp;
  /** Router that got the answer. */
  readonly source: string;
}

/** The last report of a replica's process that left. */
export interface DepartedReplica {
  readonly leftAt: Timestamp;
  readonly reportNumber: number;
}

/** A replica that left, as a restored store shows it. */
export interface OutdatedReplica {
  readonly replica: Replica;
  /** An entry that is there then is current: the replicas have written theirs again. */
  readonly until: Timestamp;
}

/** A router's registration in the store. */
export interface RouterEntry {
  readonly router: string;
  readonly lease: string;
  /** Undefined if the entry has no address. */
  readonly address: Address | undefined;
  /** Undefined if the entry names no availability zone. */
  readonly zone: string | undefined;
}

/** The routers that share the fleet-wide retry budget, and this router's own entry. */
export interface Registration {
  /** Registered routers, by name. */
  routers: ReadonlyMap<string, RouterEntry>;
  /** Lease of this router's entry; undefined if it has no entry. */
  lease: string | undefined;
  /** Time at which this router's entry is next written or renewed. */
  nextWriteAt: Timestamp;
}

/** Requests that replicas' limits delayed or refused. */
export interface LimitCounts {
  waited: number;
  refused: number;
}

/** State of the decision logic, which owns the maps and changes them in place. */
export interface RelayState {
  /** Name of this router. */
  readonly router: string;
  /** Address at which this router receives lending messages; undefined if it receives none. */
  readonly address: Address | undefined;
  readonly zone: string;
  /** Start time of this process. */
  readonly startedAt: Timestamp;
  at: Timestamp;
  /** Time of the last timer tick. */
  lastTickAt: Timestamp;
  /** Time at which outcomes are next told to other routers. */
  nextShareAt: Timestamp;
  generator: RandomState;
  config: RelayConfig | undefined;
  routes: RouteTable | undefined;
  configAppliedAt: Timestamp;
  hasReplicas: boolean;
  readonly replicas: Map<string, ReplicaView>;
  /** Paths to the replicas, by service. */
  readonly paths: Map<string, Path>;
  readonly handover: HandoverState;
  /**
   * Replicas whose entries disappeared around a store outage, and the time
   * until which each is kept.
   */
  readonly missingReplicas: Map<string, Timestamp>;
  /** By id and start time of the process. */
  readonly departedReplicas: Map<string, DepartedReplica>;
  /** Replicas' processes that announced in an answer that they leave. */
  readonly leavingProcesses: Map<string, LeavingProcess>;
  readonly adoption: AdoptionState;
  /** By id. */
  readonly outdatedReplicas: Map<string, OutdatedReplica>;
  readonly exchanges: Map<string, Exchange>;
  /** Runs that their requests left, by exchange and attempt. */
  readonly earlierRuns: Map<string, EarlierRun>;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly secondTries: SecondTryState;
  readonly registration: Registration;
  readonly quarantine: QuarantineState;
  readonly versions: VersionState;
  readonly rollouts: RolloutState;
  readonly gossip: GossipState;
  readonly limitCounts: LimitCounts;
  readonly backOffs: BackOffState;
  readonly waitingLine: WaitingLineState;
  runtimeLimits: RuntimeLimits;
  store: StoreState;
  /** Time at which the store, or a router that follows it, was last heard of. */
  storeHeardAt: Timestamp;
  readonly restorations: Restorations;
  /** Prompt tokens that an engine reads in a millisecond, by service. */
  readonly readingRates: Map<string, number>;
  /** Times of the latest answers, by class of work. */
  readonly answerTimes: Map<string, AnswerTimes>;
  /** Times of recent answers of all replicas, to all routers. */
  readonly serviceTimes: TimesByClass;
  /** What answers take without a queue, by class of work. */
  readonly unloadedTimes: Map<string, UnloadedTime>;
  /** The planned stop of this process; undefined before it. */
  plannedStop: PlannedStop | undefined;
}

/** Limits that can be changed at run time. */
export interface RuntimeLimits {
  /** Time for which a draining replica continues to serve. */
  readonly drainTimeoutMs: number;
  readonly retryLimits: RetryLimits;
  /** Second tries allowed for each idempotent request, over all routers; none if undefined. */
  readonly secondTryShare?: number | undefined;
  /** The defaults hold if undefined. */
  readonly rolloutLimits?: RolloutLimits;
}

/** Fleet-wide retry budget of each service. */
export interface RetryLimits {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Additional retries allowed to the whole fleet within a window. */
  readonly extraRetryCount: number;
  readonly windowMs: number;
}

/** Times of first attempts and retries at one service in the current sliding windows. */
export interface RetryBudget {
  readonly firstAttempts: Timestamp[];
  readonly retries: Timestamp[];
  /** Times at which retries were lent to other routers. */
  readonly lent: Timestamp[];
  /** Expiry times of retries borrowed from other routers. */
  readonly borrowed: Timestamp[];
}
