/** Types for placement: which weights are loaded where, and orders to change that. */

import type { Timestamp } from "@cardamomglade/common";
import type { AcceptedConfig } from "../config/index.js";
import type { WeightId } from "../intent/index.js";

/** Last report of an engine. */
export interface EngineObservation {
  readonly loaded: readonly WeightId[];
  /** Number of requests that are running or queued. */
  readonly busy: number;
}

/** Snapshot of the configuration and the engines, from which placement decides. */
export interface PlacementSnapshot {
  readonly at: Timestamp;
  readonly accepted: AcceptedConfig;
  /** Observations by back end; engines that do not answer are missing. */
  readonly observed: ReadonlyMap<string, EngineObservation>;
  /** Time from which no request sent before the accepted change can still be in flight. */
  readonly settledAt: Timestamp;
}

/** An order to an engine to load or unload weights. */
export interface EngineOrder {
  readonly type: "load" | "unload";
  readonly backEnd: string;
  readonly weight: WeightId;
}

/** An order that cannot be sent yet, with the reason. */
export interface BlockedOrder extends EngineOrder {
  readonly reason: string;
}

/** Orders to send now and orders that are blocked. */
export interface OrderChoice {
  readonly orders: readonly EngineOrder[];
  readonly blocked: readonly BlockedOrder[];
}
