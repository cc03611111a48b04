/** Handles the timer tick: every component checks its deadlines. */

import type { Moment } from "@cardamomglade/common";
import type { RouterState } from "../types.js";
import { chainSteps } from "./chainSteps.js";
import { tendConfiguration } from "./configurationPeers.js";
import { tendLeavingHosts } from "./drainHosts.js";
import { tendLeases } from "./leaseRoles.js";
import { tendMembership } from "./memberEvents.js";
import { tendLedger } from "./tendLedger.js";
import { tendExecution } from "./orderEvents.js";
import { tendStreams } from "./tendStreams.js";
import type { Action, RouterStep } from "./types.js";

type Tend = (state: RouterState, at: Moment) => RouterStep;

const parts: readonly Tend[] = [
  tendConfiguration,
  tendLeases,
  tendMembership,
  tendLedger,
  tendExecution,
  tendLeavingHosts,
  tendStreams,
];

/** Passes the timer tick to every component, in a fixed order. */
export const timePassed: Action<"timePassed"> = (state, { at }) =>
  chainSteps(
    state,
    parts.map((tend) => (current) => tend(current, at)),
  );
