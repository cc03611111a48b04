/** Times of a planned stop, for log lines. */

import type { Timestamp } from "@cardamomglade/common";
import type { DecisionContext } from "../commands.js";
import type { RelayState } from "../types.js";

/** Log context of a stop, with the time in which an answer is expected to end; empty if this process does not stop. */
export const stopTimesOf = (
  { at, plannedStop }: RelayState,
  expectedEndAt: Timestamp | undefined,
): DecisionContext =>
  plannedStop === undefined
    ? {}
    : {
        stopsInMs: Math.round(plannedStop.endsAt - at),
        expectedEndInMs: expectedEndAt && Math.round(expectedEndAt - at),
      };
