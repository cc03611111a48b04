/** Commands that the decision logic gives to the drivers. */

import type { Timestamp } from "@cardamomglade/common";
import type { Severity, LogValue } from "@cardamomglade/observe";
import type {
  CallerRequest,
  Replica,
  RequestLimits,
  Address,
} from "../types.js";
import type { ReturnedReplica } from "./adoptedReplicas/types.js";
import type { GossipItem } from "./gossip/types.js";
import type { Handover, HandoverRefusal } from "./handover/types.js";
import type { RolloutReport, RolloutWrite } from "./rollout/types.js";
import type { StoredQuarantine } from "./quarantine/types.js";
import type { StoredVersions, StreamOrigin } from "./versions/types.js";
import type {
  KvCacheCopy,
  Attempt,
  ResponseHead,
  StreamEvent,
  BufferedResponse,
  ReplicaOutcomes,
} from "./types.js";

/** Context fields of a log line written by a decision. */
export type DecisionContext = Readonly<Record<string, LogValue>>;

/** One command. */
export type RelayCommand =
  | {
      readonly type: "send";
      readonly key: string;
      readonly attempt: Attempt;
      readonly request: CallerRequest;
      readonly customer: string | undefined;
      /** Admission priority at an engine; undefined for replicas that are no engines. */
      readonly priority: number | undefined;
      readonly deadline: Timestamp;
      /** Id of the last event that the caller has; the replica resumes after it. */
      readonly lastEventId: number | undefined;
      /** Whether the route's answers are streams of events. */
      readonly isStreamExpected: boolean;
    }
  /** Hands a request on to another router. */
  | {
      readonly type: "handOn";
      readonly key: string;
      readonly attempt: number;
      readonly to: Address;
      readonly request: CallerRequest;
      readonly deadline: Timestamp;
      /** Id of the last event that the caller has. */
      readonly lastEventId: number | undefined;
      readonly isStreamExpected: boolean;
      readonly handover: Omit<Handover, "from">;
    }
  | {
      readonly type: "askHandover";
      readonly to: Address;
      readonly services: readonly string[];
    }
  | {
      readonly type: "offerHandover";
      readonly to: Address;
      readonly services: readonly string[];
      readonly freePlaces: number;
    }
  | {
      readonly type: "abandon";
      readonly key: string;
      readonly attempt: number;
    }
  /** Ends an attempt as not sent, unless its connection is established meanwhile. */
  | {
      readonly type: "abandonUnconnected";
      readonly key: string;
      readonly attempt: number;
    }
  | {
      readonly type: "deliverResponse";
      readonly key: string;
      readonly answer: BufferedResponse;
    }
  | {
      readonly type: "startStream";
      readonly key: string;
      readonly head: ResponseHead;
    }
  | {
      readonly type: "deliverEvents";
      readonly key: string;
      readonly events: readonly StreamEvent[];
    }
  | { readonly type: "finishStream"; readonly key: string }
  | { readonly type: "abortStream"; readonly key: string }
  | {
      readonly type: "refuse";
      readonly key: string;
      readonly status: number;
      readonly reason: string;
      readonly retryAfterMs: number | undefined;
      /** Why another router's request is not taken over. */
      readonly handoverRefusal?: HandoverRefusal | undefined;
    }
  | {
      readonly type: "copyKvCache";
      readonly key: string;
      readonly attempt: number;
      readonly requestId: string;
      readonly source: Replica;
      readonly holder: Replica;
    }
  /** Stops a run over a new connection; its KV cache is copied to the holder. */
  | {
      readonly type: "stopRun";
      readonly key: string;
      readonly attempt: number;
      readonly requestId: string;
      readonly replica: Replica;
      readonly holder: Replica;
    }
  | { readonly type: "releaseCopy"; readonly copy: KvCacheCopy }
  | {
      readonly type: "listPromptBlocks";
      readonly replica: Replica;
      /** Whether blocks that the engine read lately and does not hold any more are listed too. */
      readonly withHistory: boolean;
    }
  | {
      readonly type: "probe";
      readonly replica: Replica;
      readonly sentAt: Timestamp;
    }
  /** Finds out whether a process listens at the replica's address. */
  | {
      readonly type: "probeConnection";
      readonly replica: Replica;
      readonly sentAt: Timestamp;
    }
  /** Asks the process at a replica's address what it is, and for its id if a path is given. */
  | {
      readonly type: "probeAddress";
      readonly replica: Replica;
      readonly healthCheckPath: string | undefined;
      readonly sentAt: Timestamp;
    }
  /** Tells another router of replicas that are back. */
  | {
      readonly type: "tellReturns";
      readonly to: Address;
      readonly returned: readonly ReturnedReplica[];
    }
  | {
      readonly type: "register";
      readonly router: string;
      readonly address: Address | undefined;
      readonly zone: string;
      readonly until: Timestamp;
    }
  | {
      readonly type: "borrowRetry" | "lendRetry";
      readonly to: Address;
      readonly service: string;
    }
  /** Tells other routers how attempts ended at replicas. */
  | {
      readonly type: "shareOutcomes";
      readonly outcomes: readonly ReplicaOutcomes[];
    }
  /** Tells another router what this one learned. */
  | {
      readonly type: "gossip";
      readonly to: Address;
      readonly items: readonly GossipItem[];
    }
  | {
      readonly type: "storeQuarantine";
      readonly key: string;
      readonly stored: StoredQuarantine;
      readonly until: Timestamp;
    }
  | {
      readonly type: "storeVersions";
      readonly entry: StoredVersions;
      readonly until: Timestamp;
    }
  /** Writes the phase of a roll-out if neither its entry nor the order has changed. */
  | { readonly type: "writeRollout"; readonly write: RolloutWrite }
  | {
      readonly type: "tellRollout";
      readonly to: Address;
      readonly report: RolloutReport;
    }
  /** Tells another router where streams began. */
  | {
      readonly type: "tellOrigins";
      readonly to: Address;
      readonly origins: readonly StreamOrigin[];
    }
  | { readonly type: "askOrigin"; readonly to: Address; readonly key: string }
  | {
      readonly type: "renewRegistration";
      readonly lease: string;
    }
  /** From now on, every response closes its connection. */
  | { readonly type: "beginDrain" }
  | { readonly type: "applyLimits"; readonly limits: RequestLimits }
  | {
      readonly type: "log";
      readonly severity: Severity;
      readonly message: string;
      readonly context: DecisionContext;
    };
