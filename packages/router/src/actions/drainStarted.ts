/** Handles the start of this router's drain. */

import { TimelineTopic } from "@cardamomglade/schema";
import { chainSteps } from "./chainSteps.js";
import { stepMembership } from "./memberEvents.js";
import type { EventHandler } from "./types.js";

/** Stops accepting new requests and tells the peers that this router is leaving. */
export const drainStarted: EventHandler<"drainStarted"> = (state, { at }) => {
  const event = { topic: TimelineTopic.Drain, name: "started" };
  return chainSteps({ ...state, isDraining: true }, [
    (current) => ({ state: current, commands: [{ type: "record", event }] }),
    (current) => stepMembership(current, { type: "leaving", at }),
  ]);
};
