/** Puts an accepted configuration in force. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import { servedDeployments } from "./servedDeployments.js";
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

const leavingHostsOf = (
  intent: Intent,
  listed: ReadonlySet<string>,
): ReadonlySet<string> =>
  new Set([...intent.leaving.map(({ host }) => host), ...listed]);

const indexConfig = (
  accepted: AcceptedConfig,
  listedLeaving: ReadonlySet<string>,
): ConfigInForce => {
  const { revision, intent } = accepted;
  return {
    revision,
    intent,
    accepted,
    customers: new Map(
      intent.customers.map((customer) => [customer.name, customer]),
    ),
    customersByKeyHash: new Map(
      intent.customers.flatMap((customer) =>
        customer.keyHashes.map((hash) => [hash, customer] as const),
      ),
    ),
    backEnds: new Map(
      intent.backEnds.map((backEnd) => [backEnd.name, backEnd]),
    ),
    services: new Map(
      intent.services.map((service) => [service.name, service]),
    ),
    deploymentsByModel: groupByModel(servedDeployments(accepted)),
    leavingHosts: leavingHostsOf(intent, listedLeaving),
    listedLeaving,
  };
};

/** A router's configuration before it has read any; revision 0. */
export const createConfig = (): ConfigInForce =>
  indexConfig({ revision: 0, intent: emptyIntent }, new Set());

/** The newer of the two: a revision never falls. */
export const applyConfig = (
  current: ConfigInForce,
  accepted: AcceptedConfig,
): ConfigInForce =>
  accepted.revision > current.revision
    ? indexConfig(accepted, current.listedLeaving)
    : current;

/** Marks the hosts that the platform's list tells as leaving; the intent's marks stay. */
export const applyListedLeaving = (
  current: ConfigInForce,
  listedLeaving: ReadonlySet<string>,
): ConfigInForce => ({
  ...current,
  listedLeaving,
  leavingHosts: leavingHostsOf(current.intent, listedLeaving),
});
