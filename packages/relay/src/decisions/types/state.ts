/** Type of the whole state of the decision logic. */

import type { RandomState, Timestamp } from "@cardamomglade/common";
import type { RelayConfig, Address } from "../../types.js";
import type { AdoptionState } from "../adoptedReplicas/types.js";
import type { BackOffState } from "../backOff/types.js";
import type { EarlierRun } from "../earlierRuns/types.js";
import type { GossipState } from "../gossip/types.js";
import type { HandoverState } from "../handover/types.js";
import type { Path } from "../paths/types.js";
import type { AnswerTimes, PlannedStop } from "../plannedStop/types.js";
import type { QuarantineState } from "../quarantine/types.js";
import type { RolloutState } from "../rollout/types.js";
import type { RouteTable } from "../routeTable.js";
import type { SecondTryState } from "../secondTry/types.js";
import type { TimesByClass, UnloadedTime } from "../serviceTimes/types.js";
import type { VersionState } from "../versions/types.js";
import type { WaitingLineState } from "../waitingLine/types.js";
import type { ReplicaView } from "./replicaView.js";
import type { Exchange } from "./exchange.js";
import type {
  StoreState,
  Restorations,
  LeavingProcess,
  DepartedReplica,
  OutdatedReplica,
  Registration,
} from "./store.js";
import type { LimitCounts, RuntimeLimits, RetryBudget } from "./limits.js";

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
