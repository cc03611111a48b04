/** State of the relay's fold. */

import type { GeneratorState, Moment } from "@cardamomglade/common";
import type {
  CallerRequest,
  EngineReport,
  RelayConfig,
  Replica,
  Route,
  Address,
} from "../types.js";
import type { RouteTable } from "./routeTable.js";

/** What this process believes of one replica. */
export interface ReplicaView {
  replica: Replica;
  /** Own attempts under way. */
  inFlight: number;
  /** Own attempts whose prompt is still being read. */
  prefilling: number;
  /** Newest moment at which anything was heard of it. */
  heardAt: Moment;
  /** Avoided until then. */
  suspectUntil: Moment;
  /** Moment at which the newest probe was sent; undefined when none is under way. */
  probeSentAt: Moment | undefined;
  /** Smoothed share of failed answers. */
  failureRate: number;
  /** Newest report, and the moment at which it was read. */
  report: EngineReport | undefined;
  reportReceivedAt: Moment;
  /** Parts of prompts that it holds, when that was read, and when it was last asked. */
  promptBlocks: ReadonlyMap<string, number> | undefined;
  promptBlocksReadAt: Moment;
  promptBlocksRequestedAt: Moment;
  /** Moment at which an attempt there was last lost. */
  lastLossAt: Moment;
  /** Moment at which its leaving was first seen; undefined while it stays. */
  drainingSince: Moment | undefined;
  /** Moment at which another process was found at its address. */
  replacedAt: Moment | undefined;
}

/** How a request is sent to a replica. */
export type AttemptStart =
  | { readonly type: "fresh" }
  | { readonly type: "copy"; readonly copy: KvCacheCopy };

/** A copy of a run's memory at another engine. */
export interface KvCacheCopy {
  readonly holder: Replica;
  /** Engine by whose address the copy is named. */
  readonly source: Replica;
  readonly handle: string;
  readonly createdAt: Moment;
}

/** One sending of a request to one replica. */
export interface Attempt {
  readonly number: number;
  readonly replica: Replica;
  readonly start: AttemptStart;
  readonly sentAt: Moment;
  /** Whether the request may have run before this attempt. */
  readonly mayHaveRunBefore: boolean;
  /** Engine that is asked to keep a copy from the start. */
  readonly copyTo: Replica | undefined;
  /** Newest copy of the run's memory. */
  copy: KvCacheCopy | undefined;
  /** Moment at which a further copy was asked for; undefined when none is under way. */
  copyRequestedAt: Moment | undefined;
  /** Engines that could not take a copy of this run. */
  readonly rejectedHolders: Set<string>;
  heardAt: Moment;
  hasEvents: boolean;
}

/** A replica's answer without its body. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values in turn, as sent, without those of one connection. */
  readonly headers: readonly string[];
  readonly seal: string | undefined;
  readonly isStream: boolean;
  /** Whether the answer says where it ends; otherwise it ends with its connection. */
  readonly isFramed: boolean;
  /** Whether the replica states that it did not run the request. */
  readonly isNotExecuted: boolean;
}

/** One event of a stream, as its replica sent it. */
export interface StreamEvent {
  readonly id: number;
  readonly bytes: Uint8Array;
}

/** A look at some engines before a prompt is placed. */
export interface EngineQuery {
  readonly type: "loadReports" | "promptBlocks";
  readonly sample: ReadonlySet<string>;
  /** Engines whose reports have not come yet. */
  readonly pending: Set<string>;
  readonly until: Moment;
}

/** One caller request under way. */
export interface Exchange {
  readonly key: string;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly customer: string | undefined;
  /** The customer's, or else the route's; 0 is the most urgent. */
  readonly priority: number;
  /** The final answer is due by then. */
  readonly deadline: Moment;
  attempt: Attempt | undefined;
  /** Replicas that the request was sent to. */
  attempts: number;
  /** Number of the next attempt; also counts those that found no connection. */
  nextNumber: number;
  readonly tried: Set<string>;
  /** Whether some replica may have begun to run the request. */
  mayHaveRun: boolean;
  /** Head that the caller was given; set once a stream has begun. */
  head: ResponseHead | undefined;
  /** Last event delivered to the caller, of this or an earlier answer. */
  lastEventId: number;
  /** Engines looked at before the prompt is placed; undefined when none are. */
  engineQuery: EngineQuery | undefined;
  /** Set while the request waits for a repeat that another router may lend. */
  borrowing: Borrowing | undefined;
  /** Copy left by the last attempt. */
  copy: KvCacheCopy | undefined;
  /** Last failed answer of a replica, kept in case no other attempt is possible. */
  failedResponse: BufferedResponse | undefined;
}

/** Questions to other routers for a repeat. */
export interface Borrowing {
  /** Why the request has to be sent again. */
  readonly reason: string;
  /** Rounds of questions so far. */
  readonly rounds: number;
  readonly until: Moment;
}

/** A whole answer of a replica. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}

/** Why an attempt ended without an answer. */
export enum AttemptFailure {
  /** No connection: the request was not sent. */
  NotSent = "notSent",
  /** The connection broke off before the answer was whole. */
  Broken = "broken",
  /** The answer is not one to this request. */
  Malformed = "malformed",
}

/** Whether the store answers. */
export type StoreState =
  | { readonly type: "unknown" }
  | {
      readonly type: "available";
      /** End of its last outage; -Infinity where there was none. */
      readonly since: Moment;
    }
  | { readonly type: "unavailable"; readonly since: Moment };

/** A router's entry in the store. */
export interface RouterEntry {
  readonly router: string;
  readonly lease: string;
  /** Undefined where the entry does not tell. */
  readonly address: Address | undefined;
}

/** What is known of the routers that share the fleet's bounds, and of the own entry. */
export interface Registration {
  /** Routers that have an entry, and where they hear others. */
  routers: ReadonlyMap<string, Address | undefined>;
  /** Lease of the own entry; undefined while there is none. */
  lease: string | undefined;
  /** Moment at which the own entry is written or renewed next. */
  nextWriteAt: Moment;
}

/** State of the fold; its maps are owned by the fold and changed in place. */
export interface RelayState {
  /** Name of this router. */
  readonly router: string;
  /** Where this router hears others; undefined where it does not. */
  readonly address: Address | undefined;
  readonly zone: string;
  /** Moment at which this process began. */
  readonly startedAt: Moment;
  at: Moment;
  /** Moment of the newest tick. */
  lastTickAt: Moment;
  generator: GeneratorState;
  config: RelayConfig | undefined;
  routes: RouteTable | undefined;
  configAppliedAt: Moment;
  hasReplicas: boolean;
  readonly replicas: Map<string, ReplicaView>;
  /** Replicas that vanished around an outage of the store, kept until a moment. */
  readonly missingReplicas: Map<string, Moment>;
  readonly exchanges: Map<string, Exchange>;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly registration: Registration;
  bounds: Bounds;
  store: StoreState;
  isDraining: boolean;
}

/** Bounds that may change while the process runs. */
export interface Bounds {
  /** Time that a leaving replica goes on serving. */
  readonly drainTimeoutMs: number;
  readonly repeatLimits: RetryLimits;
}

/** Bounds of repeats, for the whole fleet. */
export interface RetryLimits {
  /** Repeats for each first sending. */
  readonly share: number;
  /** Repeats of the whole fleet in a window beyond that share. */
  readonly extra: number;
  readonly windowMs: number;
}

/** First sendings and repeats to one service in the current windows. */
export interface RetryBudget {
  readonly firstAttempts: Moment[];
  readonly retries: Moment[];
  /** Repeats lent to other routers, by the moment at which they were. */
  readonly lent: Moment[];
  /** Repeats that other routers lent, by the moment until which they may be sent. */
  readonly borrowed: Moment[];
}
