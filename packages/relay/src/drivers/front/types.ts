/** Servers for callers, and for routers that hand requests on. */

import type { Timestamp } from "@cardamomglade/common";
import type { Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../../decisions/commands.js";
import type { RelayMetrics } from "../../metrics.js";
import type { Address, ReplicaProtocol } from "../../types.js";
import type { Sender } from "../sender.js";
import type { RelayDriver } from "../types.js";

/** Options of the server. */
export interface FrontOptions {
  readonly listen: Address;
  readonly sender: Sender;
  readonly protocol: ReplicaProtocol;
  readonly metrics: RelayMetrics;
  readonly log: Log<DecisionContext>;
  /** Descriptors of the process, of which some are kept free; undefined if their number is not known. */
  readonly maxDescriptors?: () => number | undefined;
}

/**
 * Driver that stops in steps: while draining, responses close their
 * connections; idle connections are closed on request.
 */
export interface FrontDriver extends RelayDriver {
  /** Whether its port is open. */
  isOpen(): boolean;
  /**
   * Stops accepting connections, and closes those without a request in progress; returns
   * whether it did. If more arrives than is read, it does so only after the given time.
   */
  closeIdle(readBy: Timestamp): Promise<boolean>;
  /** Number of requests that are being read or whose response has not been sent whole. */
  openRequestCount(): number;
}
