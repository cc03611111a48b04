/** Starts requests that other routers handed on, once the runs that these left have ended. */

import type { RelayCommand } from "../commands.js";
import { askStop } from "../earlierRuns/askStop.js";
import { departure, goOnAfterEarlierRun } from "../earlierRuns/goOn.js";
import type { Exchange, RelayState } from "../types.js";
import { followHandedRuns } from "./handedRuns.js";
import { takeOverLogLine } from "./takeOver.js";
import type { Handover } from "./types.js";

/** Sends a request that another router handed on; that one counted it in its retry budget, or not. */
export const startTakenOver = (
  state: RelayState,
  exchange: Exchange,
  handover: Handover,
): RelayCommand[] => {
  state.handover.takenOverCount += 1;
  const line = takeOverLogLine(exchange, handover);
  const runs = followHandedRuns(state, exchange, handover);
  const left = departure("no attempt of the other router", {
    isRepeat: !handover.isCounted,
  });
  return [
    line,
    ...runs.slice(0, -1).flatMap((run) => askStop(state, run)),
    ...goOnAfterEarlierRun(state, exchange, runs.at(-1), left),
  ];
};
