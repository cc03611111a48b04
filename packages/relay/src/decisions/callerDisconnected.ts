/** Handles a caller that disconnected: all work for its request is cancelled at once. */

import { describeOptions } from "./describeOptions.js";
import { cancelExchange, summaryOf } from "./endExchange.js";
import { stopHandedBack } from "./handover/handedRuns.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { RelayState } from "./types.js";

/** Removes the exchange and closes its connection to the replica. */
export const callerDisconnected = (
  state: RelayState,
  { key, at }: RelayEventOf<"callerDisconnected">,
): RelayCommand[] => {
  const exchange = state.exchanges.get(key);
  if (exchange === undefined) return [];
  const context = {
    ...summaryOf(exchange, at),
    ...describeOptions(state, exchange),
  };
  return [
    ...stopHandedBack(state, exchange),
    ...cancelExchange(state, exchange),
    logLine("caller left", context),
  ];
};
