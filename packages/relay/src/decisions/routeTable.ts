/** Looks up routes by host and longest path prefix, and customers by API key. */

import type { Customer, RelayConfig, Route, Service } from "../types.js";

/** Lookup tables built from a configuration. */
export interface RouteTable {
  /** Routes by host in lower case, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined if callers need no API key. */
  readonly customerByKey: ReadonlyMap<string, Customer> | undefined;
  /** Priorities that requests of each service can have, by its routes and all customers. */
  readonly prioritiesByService: ReadonlyMap<string, ReadonlySet<number>>;
}

const indexKeys = (
  customers: readonly Customer[],
): ReadonlyMap<string, Customer> => {
  const byKey = new Map<string, Customer>();
  for (const customer of customers)
    for (const key of customer.keys) byKey.set(key, customer);
  return byKey;
};

const indexPriorities = ({
  routes,
  customers = [],
}: RelayConfig): ReadonlyMap<string, ReadonlySet<number>> => {
  const ofCustomers = customers
    .map(({ priority }) => priority)
    .filter((priority) => priority !== undefined);
  const byService = new Map<string, Set<number>>();
  for (const { priority, targets } of routes)
    for (const { service } of targets) {
      const known = byService.get(service) ?? new Set(ofCustomers);
      byService.set(service, known.add(priority));
    }
  return byService;
};

/** Builds the lookup tables of a configuration. */
export const buildRouteTable = (config: RelayConfig): RouteTable => {
  const byHost = new Map<string, Route[]>();
  for (const route of config.routes) {
    const host = route.hostname.toLowerCase();
    const routes = byHost.get(host) ?? [];
    routes.push(route);
    byHost.set(host, routes);
  }
  for (const routes of byHost.values())
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  const services = new Map(config.services.map((one) => [one.name, one]));
  const { customers } = config;
  const customerByKey =
    customers === undefined ? undefined : indexKeys(customers);
  const prioritiesByService = indexPriorities(config);
  return { byHost, services, customerByKey, prioritiesByService };
};

const withoutPort = (host: string): string => host.replace(/:\d+$/, "");

/** The route for a host and a path without query string, or undefined. */
export const findRoute = (
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined =>
  table.byHost
    .get(withoutPort(host).toLowerCase())
    ?.find(({ prefix }) => path.startsWith(prefix));
