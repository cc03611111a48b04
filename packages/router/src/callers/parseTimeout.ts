/** The time a caller gives its request. */

import type { IncomingMessage } from "node:http";
import type { Settings } from "@cardamomglade/schema";

/** Milliseconds from the request's header, at most the longest that the settings allow. */
export const parseTimeout = (
  req: IncomingMessage,
  { limits }: Settings,
): number => {
  const asked = Number(req.headers["x-request-timeout-ms"] ?? NaN);
  return Number.isFinite(asked) && asked > 0
    ? Math.min(asked, limits.requestTimeoutMs)
    : limits.requestTimeoutMs;
};
