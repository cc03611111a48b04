/** Handles errors of the program: they end one request, not the process. */

import { Severity } from "@cardamomglade/observe";
import { failExchange } from "./endExchange.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { Exchange, RelayState } from "./types.js";

/** Logs an error, and ends the request in which it occurred. */
export const recoverExchange = (
  state: RelayState,
  exchange: Exchange | undefined,
  event: string,
  error: unknown,
): RelayCommand[] => {
  const detail = error instanceof Error ? error.stack : String(error);
  const line = logLine("a decision failed", { event, detail }, Severity.Error);
  return exchange === undefined
    ? [line]
    : [line, ...failExchange(state, exchange, "internal error")];
};
