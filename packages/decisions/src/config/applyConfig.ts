/** Puts an accepted configuration in force. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import type { AcceptedConfig, ConfigInForce } from "./types.js";

const emptyIntent: Intent = {
  customers: [],
  models: [],
  backEnds: [],
  deployments: [],
  services: [],
  leaving: [],
};

const groupByModel = (
  deployments: readonly Deployment[],
): Map<string, Deployment[]> => {
  const groups = new Map<string, Deployment[]>();
  for (const deployment of deployments) {
    const group = groups.get(deployment.model) ?? [];
    group.push(deployment);
    groups.set(deployment.model, group);
  }
  return groups;
};

const indexConfig = ({ revision, intent }: AcceptedConfig): ConfigInForce => ({
  revision,
  intent,
  customersByKeyHash: new Map(
    intent.customers.flatMap((customer) =>
      customer.keyHashes.map((hash) => [hash, customer] as const),
    ),
  ),
  backEnds: new Map(intent.backEnds.map((backEnd) => [backEnd.name, backEnd])),
  services: new Map(intent.services.map((service) => [service.name, service])),
  deploymentsByModel: groupByModel(intent.deployments),
  leavingHosts: new Set(intent.leaving.map(({ host }) => host)),
});

/** A router's configuration before it has read any; revision 0. */
export const createConfig = (): ConfigInForce =>
  indexConfig({ revision: 0, intent: emptyIntent });

/** The newer of the two: a revision never falls. */
export const applyConfig = (
  current: ConfigInForce,
  accepted: AcceptedConfig,
): ConfigInForce =>
  accepted.revision > current.revision ? indexConfig(accepted) : current;
