/** Type of a caller's request in progress. */

import type { Timestamp } from "@cardamomglade/common";
import type { CallerRequest, Route } from "../../types.js";
import type { Fallback } from "../fallback/types.js";
import type { FruitlessAttempts } from "../resumption/types.js";
import type { RolloutAim, RolloutReason } from "../rollout/types.js";
import type { SlowAnswer } from "../secondTry/types.js";
import type { RoomSearch } from "../waitingLine/types.js";
import type { ResponseHead, BufferedResponse } from "./response.js";
import type { KvCacheCopy, Attempt } from "./attempt.js";
import type { Wait } from "./wait.js";

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
