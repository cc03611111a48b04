/** Types of the configuration in force. */

import type {
  BackEnd,
  Customer,
  Deployment,
  Intent,
  Service,
} from "@cardamomglade/schema";

/** An accepted configuration as kept in the key-value service. */
export interface AcceptedConfig {
  readonly revision: number;
  readonly intent: Intent;
}

/** The configuration a router acts on, indexed for look-up. */
export interface ConfigInForce {
  readonly revision: number;
  readonly intent: Intent;
  readonly customersByKeyHash: ReadonlyMap<string, Customer>;
  readonly backEnds: ReadonlyMap<string, BackEnd>;
  readonly services: ReadonlyMap<string, Service>;
  readonly deploymentsByModel: ReadonlyMap<string, readonly Deployment[]>;
  readonly leavingHosts: ReadonlySet<string>;
}
