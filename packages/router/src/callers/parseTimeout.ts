/** Parses the timeout of a caller's request. */

import type { IncomingMessage } from "node:http";
import type { Settings } from "@cardamomglade/schema";

/** Timeout in milliseconds from the request's header, limited by the settings. */
export const parseTimeout = (
  req: IncomingMessage,
  { limits }: Settings,
): number => {
  const requestedMs = Number(req.headers["x-request-timeout-ms"] ?? NaN);
  return Number.isFinite(requestedMs) && requestedMs > 0
    ? Math.min(requestedMs, limits.requestTimeoutMs)
    : limits.requestTimeoutMs;
};
