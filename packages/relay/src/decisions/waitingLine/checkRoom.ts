/** Looks for room again for a request that waits for it. */

import type { RelayCommand } from "../commands.js";
import { isEngineQueryPending, queryFurtherReports } from "../queryEngines.js";
import { loadQueryEngineCount } from "../constants.js";
import { sendWithoutCopy } from "../placeRequest.js";
import type { Exchange, RelayState } from "../types.js";
import { lookEngineCount } from "./constants.js";
import { isMostUrgent } from "./ranks.js";
import type { RoomWait } from "./types.js";

/** Asks other engines once the time has come; the request is sent if one has room. */
export const checkRoom = (
  state: RelayState,
  exchange: Exchange,
  { lookAt }: RoomWait,
): RelayCommand[] => {
  if (state.at < lookAt) return [];
  const { service, priority } = exchange;
  const engineCount = isMostUrgent(state, service, priority)
    ? loadQueryEngineCount
    : lookEngineCount;
  const probes = queryFurtherReports(state, exchange, engineCount);
  return isEngineQueryPending(state, exchange)
    ? probes
    : [...probes, ...sendWithoutCopy(state, exchange)];
};
