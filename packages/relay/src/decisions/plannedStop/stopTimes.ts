/** Times of a planned stop, for log lines. */

import type { Timestamp } from "@cardamomglade/common";
import type { DecisionContext } from "../commands.js";
import type { RelayState } from "../types.js";

/** Log context of a stop, with the time in which an answer is expected to end; empty if this process does not stop. */
export const stopTimesOf = (
  { at, stopsAt }: RelayState,
  expectedEndAt: Timestamp | undefined,
): DecisionContext =>
  stopsAt === undefined
    ? {}
    : {
        stopsInMs: Math.round(stopsAt - at),
        expectedEndInMs: expectedEndAt && Math.round(expectedEndAt - at),
      };
