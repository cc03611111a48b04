/** Handles the timer tick: every component checks its deadlines. */

import type { Timestamp } from "@cardamomglade/common";
import type { RouterState } from "../types.js";
import { chainSteps } from "./chainSteps.js";
import { tickConfiguration } from "./configurationPeers.js";
import { tickLeavingHosts } from "./tickLeavingHosts.js";
import { tickLeases } from "./leaseRoles.js";
import { tickMembership } from "./memberEvents.js";
import { tickLedger } from "./tickLedger.js";
import { tickExecution } from "./orderEvents.js";
import { tickStreams } from "./tickStreams.js";
import type { EventHandler, RouterStep } from "./types.js";

type Tick = (state: RouterState, at: Timestamp) => RouterStep;

const ticks: readonly Tick[] = [
  tickConfiguration,
  tickLeases,
  tickMembership,
  tickLedger,
  tickExecution,
  tickLeavingHosts,
  tickStreams,
];

/** Passes the timer tick to every component, in a fixed order. */
export const timerTicked: EventHandler<"timerTicked"> = (state, { at }) =>
  chainSteps(
    state,
    ticks.map((tick) => (current) => tick(current, at)),
  );
