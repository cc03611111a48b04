/** Types of what is known about the network path to the replicas of a service. */

import type { Timestamp } from "@cardamomglade/common";

/** Whether connections to a service's replicas can be established. */
export type PathState =
  | { readonly type: "open" }
  /** A connection failed, and other replicas are tried. */
  | {
      readonly type: "doubted";
      readonly since: Timestamp;
      /** Replicas whose connection has neither been established nor failed. */
      readonly pending: Set<string>;
      /** Those that have not been connected to by then count as failed. */
      readonly until: Timestamp;
    }
  /** None of the replicas that were tried could be connected to. */
  | {
      readonly type: "lost";
      readonly since: Timestamp;
      nextProbeAt: Timestamp;
    };

/** The path to the replicas of one service. */
export interface Path {
  state: PathState;
  /** Time at which a connection was last established; -Infinity before the first. */
  connectedAt: Timestamp;
}
