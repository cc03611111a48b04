/** Activates accepted configurations. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import { servedDeployments } from "./servedDeployments.js";
import type { AcceptedConfig, ActiveConfig } from "./types.js";

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
  listedLeavingHosts: ReadonlySet<string>,
): ActiveConfig => {
  const { revision, intent } = accepted;
  const served = servedDeployments(accepted);
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
    deploymentsByName: new Map(
      served.map((deployment) => [deployment.name, deployment]),
    ),
    deploymentsByModel: groupByModel(served),
    leavingHosts: leavingHostsOf(intent, listedLeavingHosts),
    listedLeavingHosts,
  };
};

/** Configuration of a router that has not read one yet; revision 0. */
export const createActiveConfig = (): ActiveConfig =>
  indexConfig({ revision: 0, intent: emptyIntent }, new Set());

/** Returns the newer of the two configurations, so that the revision never decreases. */
export const applyConfig = (
  current: ActiveConfig,
  accepted: AcceptedConfig,
): ActiveConfig =>
  accepted.revision > current.revision
    ? indexConfig(accepted, current.listedLeavingHosts)
    : current;

/** Replaces the hosts that the platform's host list marks as leaving; hosts that the intent marks stay marked. */
export const applyListedLeavingHosts = (
  current: ActiveConfig,
  listedLeavingHosts: ReadonlySet<string>,
): ActiveConfig => ({
  ...current,
  listedLeavingHosts,
  leavingHosts: leavingHostsOf(current.intent, listedLeavingHosts),
});
