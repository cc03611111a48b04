/** Looks for routes that cannot serve what they promise. */

import { RequestKind, type Route, type Service } from "./types.js";

/** What is wrong with a route. */
export interface RouteFault {
  /** Place of the route in the list. */
  readonly index: number;
  readonly message: string;
}

const isWholePath = (prefix: string): boolean =>
  prefix.startsWith("/") && prefix.endsWith("/");

const faultsOf = (route: Route, services: ReadonlySet<string>): string[] => {
  const { prefix, targets, kind } = route;
  const faults: string[] = [];
  if (!isWholePath(prefix))
    faults.push(`prefix "${prefix}" does not begin and end with a slash`);
  for (const { service } of targets)
    if (!services.has(service))
      faults.push(`service "${service}" does not exist`);
  if (targets.every(({ weight }) => weight <= 0))
    faults.push("no target has a weight above 0");
  if (route.canResume && kind !== RequestKind.Streaming)
    faults.push("only a streaming route can resume");
  if (route.targetLatencyMs > route.timeoutMs)
    faults.push("the target latency exceeds the timeout");
  return faults;
};

/** All faults of a list of routes; an entry that could not be read is left out. */
export const checkRoutes = (
  routes: readonly (Route | undefined)[],
  services: readonly Service[],
): RouteFault[] => {
  const names = new Set(services.map(({ name }) => name));
  const first = new Map<string, number>();
  return routes.flatMap((route, index) => {
    if (route === undefined) return [];
    const messages = faultsOf(route, names);
    const place = `${route.hostname}${route.prefix}`;
    const before = first.get(place);
    if (before === undefined) first.set(place, index);
    else messages.push(`routes the same requests as route ${String(before)}`);
    return messages.map((message) => ({ index, message }));
  });
};
