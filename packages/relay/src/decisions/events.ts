/** Events that the drivers pass to the decision logic. */

import type { ConnectionOutcome, Timestamp } from "@cardamomglade/common";
import type {
  CallerRequest,
  EngineReport,
  RelayConfig,
  Replica,
  Address,
} from "../types.js";
import type {
  ProcessAnswer,
  ReturnedReplica,
} from "./adoptedReplicas/types.js";
import type { RetryAfter } from "./backOff/types.js";
import type { StopOutcome } from "./earlierRuns/types.js";
import type { GossipItem } from "./gossip/types.js";
import type { StoredQuarantine } from "./quarantine/types.js";
import type {
  RolloutOrder,
  RolloutReport,
  RolloutWrite,
  StoredRollout,
} from "./rollout/types.js";
import type { StoredVersions, StreamOrigin } from "./versions/types.js";
import type {
  ResponseHead,
  StreamEvent,
  BufferedResponse,
  AttemptFailure,
  ReplicaOutcomes,
  RouterEntry,
  RuntimeLimits,
} from "./types.js";

/** One event. */
export type RelayEvent =
  | {
      readonly type: "configRead";
      readonly at: Timestamp;
      readonly config: RelayConfig;
    }
  | {
      readonly type: "replicasRead";
      readonly at: Timestamp;
      readonly replicas: readonly Replica[];
    }
  | {
      readonly type: "routersRead";
      readonly at: Timestamp;
      readonly entries: readonly RouterEntry[];
    }
  | {
      readonly type: "retryRequested";
      readonly at: Timestamp;
      readonly from: Address;
      readonly service: string;
    }
  | {
      readonly type: "retryLent";
      readonly at: Timestamp;
      readonly from: Address;
      readonly service: string;
    }
  | {
      readonly type: "storeAnswered";
      readonly at: Timestamp;
      readonly detail: string;
    }
  | {
      readonly type: "storeFailed";
      readonly at: Timestamp;
      readonly detail: string;
    }
  | {
      readonly type: "storeRestored";
      readonly at: Timestamp;
      readonly fromEra: number;
      readonly toEra: number;
      /** Where it was learned: the store or a router. */
      readonly source: string;
      readonly missingKeys: readonly string[];
      readonly changedKeys: readonly string[];
    }
  | {
      readonly type: "requestArrived";
      readonly at: Timestamp;
      readonly key: string;
      readonly request: CallerRequest;
    }
  /** An attempt's connection was established; the request is being sent. */
  | {
      readonly type: "connectionOpened";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
    }
  /** The replica took a part of a large request; small ones are one part. */
  | {
      readonly type: "requestProgressed";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
    }
  /** The replica sent a part of a large answer whose length it named, or the relay stopped reading. */
  | {
      readonly type: "answerProgressed";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      /** Whether the rest waits for memory of this process. */
      readonly isHeldBack: boolean;
    }
  | {
      readonly type: "responseReceived";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly answer: BufferedResponse;
    }
  | {
      readonly type: "streamStarted";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly head: ResponseHead;
    }
  | {
      readonly type: "eventsArrived";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly events: readonly StreamEvent[];
    }
  | {
      readonly type: "streamEnded";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
    }
  | {
      readonly type: "attemptFailed";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly failure: AttemptFailure;
      readonly detail: string;
    }
  /** An answer of the replica said that it leaves. */
  | {
      readonly type: "leavingAnnounced";
      readonly at: Timestamp;
      readonly replica: Pick<Replica, "id" | "startedAt">;
    }
  /** A replica turned a request or a question away, and named a time at which it may be asked again. */
  | {
      readonly type: "backOffRequested";
      readonly at: Timestamp;
      readonly replica: Pick<Replica, "id" | "startedAt">;
      readonly retryAfter: RetryAfter;
    }
  | {
      readonly type: "probeFinished";
      readonly at: Timestamp;
      readonly replica: string;
      readonly sentAt: Timestamp;
      readonly report: EngineReport | undefined;
      readonly isAnswered: boolean;
      /** Whether the replica's host refused the connection: no process listens. */
      readonly isRefused: boolean;
      /** Whether the replica's host took the connection: a process that stands still has such a host. */
      readonly isConnected: boolean;
    }
  | {
      readonly type: "connectionProbed";
      readonly at: Timestamp;
      readonly replica: string;
      readonly sentAt: Timestamp;
      readonly outcome: ConnectionOutcome;
    }
  /** The process at the address of a replica was asked what it is. */
  | {
      readonly type: "addressProbed";
      readonly at: Timestamp;
      /** The replica that is known there, and the start of its process. */
      readonly replica: string;
      readonly startedAt: Timestamp;
      readonly answer: ProcessAnswer;
    }
  /** Another router tells of replicas that are back. */
  | {
      readonly type: "returnsTold";
      readonly at: Timestamp;
      readonly from: Address;
      readonly returned: readonly ReturnedReplica[];
    }
  | {
      readonly type: "kvCacheCopied";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly holder: Replica;
      /** Handle of the copy; undefined if none was made. */
      readonly handle: string | undefined;
    }
  /** A replica was asked to stop a run. */
  | {
      readonly type: "runStopped";
      readonly at: Timestamp;
      readonly key: string;
      readonly attempt: number;
      readonly replica: Replica;
      readonly holder: Replica;
      readonly outcome: StopOutcome;
    }
  | {
      readonly type: "promptBlocksListed";
      readonly at: Timestamp;
      readonly replica: string;
      /** Cached tokens by prompt block; undefined if the engine did not answer. */
      readonly promptBlocks: ReadonlyMap<string, number> | undefined;
    }
  | {
      readonly type: "outcomesShared";
      readonly at: Timestamp;
      readonly outcomes: readonly ReplicaOutcomes[];
    }
  | {
      readonly type: "gossipReceived";
      readonly at: Timestamp;
      readonly from: Address;
      readonly items: readonly GossipItem[];
    }
  | {
      readonly type: "quarantinesRead";
      readonly at: Timestamp;
      /** Rises when the store comes back from a copy. */
      readonly era: number;
      readonly entries: readonly StoredQuarantine[];
    }
  | {
      readonly type: "versionsRead";
      readonly at: Timestamp;
      readonly entries: readonly StoredVersions[];
    }
  | {
      readonly type: "rolloutsRead";
      readonly at: Timestamp;
      readonly orders: readonly RolloutOrder[];
      readonly stored: readonly StoredRollout[];
      /** Earliest time at which what is new may have been written; the time of the event if it was read at once. */
      readonly unreadSince?: Timestamp;
    }
  | {
      readonly type: "rolloutWritten";
      readonly at: Timestamp;
      readonly write: RolloutWrite;
      /** Revision of the entry now. */
      readonly revision: number;
    }
  /** The store refused to write a phase, as the entry or the order was another one by then. */
  | {
      readonly type: "rolloutRefused";
      readonly at: Timestamp;
      readonly write: RolloutWrite;
      /** The entry as it is; undefined if there is none. */
      readonly stored: StoredRollout | undefined;
      readonly isOrderSame: boolean;
    }
  | {
      readonly type: "rolloutTold";
      readonly at: Timestamp;
      readonly from: Address;
      readonly report: RolloutReport;
    }
  | {
      readonly type: "originAsked";
      readonly at: Timestamp;
      readonly from: Address;
      readonly key: string;
    }
  | {
      readonly type: "originsTold";
      readonly at: Timestamp;
      readonly from: Address;
      readonly origins: readonly StreamOrigin[];
    }
  /** Another router asks to which services this one has a path, and for its room. */
  | {
      readonly type: "handoverAsked";
      readonly at: Timestamp;
      readonly from: Address;
      readonly services: readonly string[];
    }
  /** Another router offers to take requests over. */
  | {
      readonly type: "handoverOffered";
      readonly at: Timestamp;
      readonly from: Address;
      readonly services: readonly string[];
      readonly freePlaces: number;
    }
  | {
      readonly type: "callerDisconnected";
      readonly at: Timestamp;
      readonly key: string;
    }
  | { readonly type: "timerTicked"; readonly at: Timestamp }
  | {
      readonly type: "limitsChanged";
      readonly at: Timestamp;
      readonly runtimeLimits: RuntimeLimits;
    }
  | {
      /** The time of a planned stop is up; what is under way is cut off. */
      readonly type: "drainEnded";
      readonly at: Timestamp;
    }
  | {
      readonly type: "drainStarted";
      readonly at: Timestamp;
      /** New connections are accepted until then. */
      readonly noticeEndsAt: Timestamp;
      /** Requests that have not ended by then are cut off. */
      readonly endsAt: Timestamp;
    };

/** The event with the given type tag. */
export type RelayEventOf<Type extends RelayEvent["type"]> = Extract<
  RelayEvent,
  { readonly type: Type }
>;
