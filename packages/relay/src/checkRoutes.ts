/** Validates routes. */

import { RequestKind, type Route, type Service } from "./types.js";

/** A validation error of a route. */
export interface RouteError {
  /** Index of the route in the list. */
  readonly index: number;
  readonly message: string;
}

const isDelimitedPath = (prefix: string): boolean =>
  prefix.startsWith("/") && prefix.endsWith("/");

const errorsOf = (route: Route, services: ReadonlySet<string>): string[] => {
  const { prefix, targets, kind } = route;
  const errors: string[] = [];
  if (!isDelimitedPath(prefix))
    errors.push(`prefix "${prefix}" does not begin and end with a slash`);
  for (const { service } of targets)
    if (!services.has(service))
      errors.push(`service "${service}" does not exist`);
  if (targets.every(({ weight }) => weight <= 0))
    errors.push("no target has a weight above 0");
  if (route.canResume && kind !== RequestKind.Streaming)
    errors.push("only a streaming route can resume");
  if (route.targetLatencyMs > route.timeoutMs)
    errors.push("the target latency exceeds the timeout");
  return errors;
};

/** Validates a list of routes; entries that could not be decoded are undefined and skipped. */
export const checkRoutes = (
  routes: readonly (Route | undefined)[],
  services: readonly Service[],
): RouteError[] => {
  const names = new Set(services.map(({ name }) => name));
  const firstIndexByPattern = new Map<string, number>();
  return routes.flatMap((route, index) => {
    if (route === undefined) return [];
    const messages = errorsOf(route, names);
    const pattern = `${route.hostname.toLowerCase()} ${route.prefix}`;
    const firstIndex = firstIndexByPattern.get(pattern);
    if (firstIndex === undefined) firstIndexByPattern.set(pattern, index);
    else
      messages.push(`routes the same requests as route ${String(firstIndex)}`);
    return messages.map((message) => ({ index, message }));
  });
};
