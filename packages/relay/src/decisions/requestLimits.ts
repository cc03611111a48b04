/** Limits of requests that replicas name in their answers. */

import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayState, ResponseHead } from "./types.js";

/** Takes over the limit that an answer names; an answer without one ends it. */
export const noteRequestLimit = (
  state: RelayState,
  replicaId: string,
  { requestLimitPerS: perS }: ResponseHead,
): RelayCommand[] => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return [];
  const before = view.requestLimit?.perS;
  view.requestLimit =
    perS === undefined ? undefined : { perS, namedAt: state.at };
  if (perS === before) return [];
  const context = { replica: replicaId, limitPerS: perS, beforePerS: before };
  return [
    logLine(
      perS === undefined
        ? "replica names no limit any more"
        : "replica names a limit",
      context,
    ),
  ];
};
