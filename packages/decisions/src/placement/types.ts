/** Types of placement: what is loaded where, and what is to be done about it. */

import type { Moment } from "@cardamomglade/common";
import type { AcceptedConfig } from "../config/index.js";
import type { WeightName } from "../intent/index.js";

/** What an engine last reported. */
export interface EngineObservation {
  readonly loaded: readonly WeightName[];
  /** Requests running or queued. */
  readonly busy: number;
}

/** The world that placement acts on. */
export interface PlacementWorld {
  readonly at: Moment;
  readonly accepted: AcceptedConfig;
  /** By back end; an engine that does not answer is missing. */
  readonly observed: ReadonlyMap<string, EngineObservation>;
  /** Moment from which no request runs that was sent before the accepted change. */
  readonly settledAt: Moment;
}

/** An order to an engine. */
export interface EngineOrder {
  readonly type: "load" | "unload";
  readonly backEnd: string;
  readonly weight: WeightName;
}

/** An order that cannot be given yet, and why. */
export interface BlockedOrder extends EngineOrder {
  readonly reason: string;
}

/** Orders to give now and orders that wait. */
export interface OrderChoice {
  readonly orders: readonly EngineOrder[];
  readonly blocked: readonly BlockedOrder[];
}
