/** Events that the router process handles. */

import type { Moment } from "@cardamomglade/common";
import type {
  AcceptedConfig,
  AttemptFailure,
  EngineObservation,
  EngineOrder,
  LeaseEvent,
  LoadNews,
  ShardEvent,
} from "@cardamomglade/decisions";
import type {
  CacheEvents,
  EngineToken,
  FinishReason,
  ListedHost,
  PeerMessage,
} from "@cardamomglade/schema";
import type { ServiceOutcome } from "@cardamomglade/upstream";
import type { GenerationRequest, ServiceRequest, RoleHolder } from "./types.js";

/** An event from a driver: input to `decide`. */
export type RouterEvent =
  | {
      readonly type: "configurationRead";
      readonly at: Moment;
      readonly accepted: AcceptedConfig;
      /** Where it was read; the key-value store by default. */
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
      /** Why the order failed; undefined if the engine accepted it. */
      readonly reason: string | undefined;
    }
  | { readonly type: "drainAnnounced"; readonly at: Moment }
  | { readonly type: "graceEnded"; readonly at: Moment }
  | { readonly type: "drainStarted"; readonly at: Moment };

/** The event with a given type. */
export type RouterEventOf<T extends RouterEvent["type"]> = Extract<
  RouterEvent,
  { type: T }
>;
