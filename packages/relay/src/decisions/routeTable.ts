/** Looks up routes by host and longest prefix, and customers by key. */

import type { Customer, RelayConfig, Route, Service } from "../types.js";

/** A configuration made ready for look-ups. */
export interface RouteTable {
  /** By host in lower case; longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined where callers need no keys. */
  readonly customerByKey: ReadonlyMap<string, Customer> | undefined;
}

const indexKeys = (
  customers: readonly Customer[],
): ReadonlyMap<string, Customer> => {
  const byKey = new Map<string, Customer>();
  for (const customer of customers)
    for (const key of customer.keys) byKey.set(key, customer);
  return byKey;
};

/** Builds the look-up tables of one version. */
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
  return { byHost, services, customerByKey };
};

const withoutPort = (host: string): string => host.replace(/:\d+$/, "");

/** The route of a host and a path without query, or undefined. */
export const findRoute = (
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined =>
  table.byHost
    .get(withoutPort(host).toLowerCase())
    ?.find(({ prefix }) => path.startsWith(prefix));
