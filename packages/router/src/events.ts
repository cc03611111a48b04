/** Events that the router process handles. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  AcceptedConfig,
  AttemptFailure,
  EngineObservation,
  EngineOrder,
  LeaseEvent,
  LoadUpdate,
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
      readonly at: Timestamp;
      readonly accepted: AcceptedConfig;
      /** Where it was read; the key-value store by default. */
      readonly source?: string;
    }
  | {
      readonly type: "generationArrived";
      readonly at: Timestamp;
      readonly request: GenerationRequest;
    }
  | {
      readonly type: "callerDisconnected";
      readonly at: Timestamp;
      readonly requestId: string;
    }
  | {
      readonly type: "tokensArrived";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
      readonly offset: number;
      readonly tokens: readonly EngineToken[];
    }
  | {
      readonly type: "attemptFinished";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
      readonly offset: number;
      readonly reason: FinishReason;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
      readonly failure: AttemptFailure;
    }
  | {
      /** The engine of a cancelled attempt runs it no more, or its host takes no connection. */
      readonly type: "attemptReleased";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      /** Another router reads a cancelled attempt, as its caller resumed there. */
      readonly type: "attemptTakenOver";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "backEndProbed";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly attempt: number;
      readonly isAlive: boolean;
    }
  | {
      readonly type: "callerSlow";
      readonly at: Timestamp;
      readonly requestId: string;
    }
  | {
      readonly type: "callerReady";
      readonly at: Timestamp;
      readonly requestId: string;
    }
  | {
      readonly type: "serviceCallArrived";
      readonly at: Timestamp;
      readonly request: ServiceRequest;
    }
  | {
      readonly type: "serviceCallEnded";
      readonly at: Timestamp;
      readonly requestId: string;
      readonly outcome: ServiceOutcome;
    }
  | {
      readonly type: "holdersRead";
      readonly at: Timestamp;
      readonly holders: readonly RoleHolder[];
    }
  | {
      readonly type: "shardReported";
      readonly at: Timestamp;
      readonly shard: number;
      readonly fencing: number;
      readonly report: ShardEvent;
    }
  | {
      readonly type: "leaseAnswered";
      readonly at: Timestamp;
      readonly role: string;
      readonly answer: LeaseEvent;
    }
  | {
      readonly type: "peerLinked";
      readonly at: Timestamp;
      readonly peer: string;
    }
  | {
      readonly type: "peerLost";
      readonly at: Timestamp;
      readonly peer: string;
    }
  | {
      readonly type: "peerMessageReceived";
      readonly at: Timestamp;
      readonly peer: string;
      readonly message: PeerMessage;
    }
  | {
      readonly type: "loadRead";
      readonly at: Timestamp;
      readonly backEnd: string;
      readonly update: LoadUpdate;
    }
  | {
      readonly type: "cacheEventsRead";
      readonly at: Timestamp;
      readonly backEnd: string;
      readonly cacheEvents: CacheEvents;
    }
  | {
      readonly type: "addressesBound";
      readonly at: Timestamp;
      readonly peersUrl: string;
      readonly callersUrl: string;
      readonly administrationUrl: string;
    }
  | { readonly type: "timerTicked"; readonly at: Timestamp }
  | {
      readonly type: "hostListRead";
      readonly at: Timestamp;
      readonly hosts: readonly ListedHost[];
    }
  | {
      readonly type: "enginesObserved";
      readonly at: Timestamp;
      readonly observed: ReadonlyMap<string, EngineObservation>;
      readonly bytesPerSecond: number;
    }
  | {
      readonly type: "orderAnswered";
      readonly at: Timestamp;
      readonly order: EngineOrder;
      /** Why the order failed; undefined if the engine accepted it. */
      readonly reason: string | undefined;
    }
  | { readonly type: "drainAnnounced"; readonly at: Timestamp }
  | { readonly type: "graceEnded"; readonly at: Timestamp }
  | { readonly type: "drainStarted"; readonly at: Timestamp };

/** The event with a given type. */
export type RouterEventOf<T extends RouterEvent["type"]> = Extract<
  RouterEvent,
  { type: T }
>;
