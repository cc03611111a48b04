/** Types of the configuration in force. */

import type {
  BackEnd,
  Customer,
  Deployment,
  Intent,
  Service,
} from "@cardamomglade/schema";
import type { Moment } from "@cardamomglade/common";

/** Who changed the configuration, why, when and by which plan. */
export interface ConfigChange {
  readonly by: string;
  readonly why: string;
  readonly at: Moment;
  readonly planDigest: string;
  readonly changeId: string;
}

/** An accepted configuration as kept in the key-value service. */
export interface AcceptedConfig {
  readonly revision: number;
  readonly intent: Intent;
  /** Deployments that are not yet served as the intent wants. */
  readonly serving?: readonly Deployment[];
  readonly change?: ConfigChange;
}

/** The configuration a router acts on, indexed for look-up. */
export interface ConfigInForce {
  readonly revision: number;
  readonly intent: Intent;
  readonly accepted: AcceptedConfig;
  readonly customers: ReadonlyMap<string, Customer>;
  readonly customersByKeyHash: ReadonlyMap<string, Customer>;
  readonly backEnds: ReadonlyMap<string, BackEnd>;
  readonly services: ReadonlyMap<string, Service>;
  readonly deploymentsByModel: ReadonlyMap<string, readonly Deployment[]>;
  /** Hosts that take no new work, by the intent or by the host list. */
  readonly leavingHosts: ReadonlySet<string>;
  /** Hosts that the platform's list marks as leaving. */
  readonly listedLeaving: ReadonlySet<string>;
}
