/** Types of the active configuration. */

import type {
  BackEnd,
  Customer,
  Deployment,
  Intent,
  Service,
} from "@cardamomglade/schema";
import type { Timestamp } from "@cardamomglade/common";

/** Author, reason, time and plan of a configuration change. */
export interface ConfigChange {
  readonly by: string;
  readonly why: string;
  readonly at: Timestamp;
  readonly planDigest: string;
  readonly changeId: string;
}

/** An accepted configuration as stored in the key-value service. */
export interface AcceptedConfig {
  readonly revision: number;
  readonly intent: Intent;
  /** Currently served version of deployments that do not match the intent yet. */
  readonly serving?: readonly Deployment[];
  readonly change?: ConfigChange;
}

/** The configuration that a router uses, indexed for lookup. */
export interface ActiveConfig {
  readonly revision: number;
  readonly intent: Intent;
  readonly accepted: AcceptedConfig;
  readonly customers: ReadonlyMap<string, Customer>;
  readonly customersByKeyHash: ReadonlyMap<string, Customer>;
  readonly backEnds: ReadonlyMap<string, BackEnd>;
  readonly services: ReadonlyMap<string, Service>;
  /** Deployments as currently served, by name and by model. */
  readonly deploymentsByName: ReadonlyMap<string, Deployment>;
  readonly deploymentsByModel: ReadonlyMap<string, readonly Deployment[]>;
  /** Hosts that get no new requests because the intent or the host list marks them as leaving. */
  readonly leavingHosts: ReadonlySet<string>;
  /** Hosts that the platform's host list marks as leaving. */
  readonly listedLeavingHosts: ReadonlySet<string>;
}
