/** The router was told to drain. */

import { TimelineTopic } from "@cardamomglade/schema";
import type { Action } from "./types.js";

/** Takes no new work from now on. */
export const drainStarted: Action<"drainStarted"> = (state) => ({
  state: { ...state, draining: true },
  commands: [
    { type: "record", event: { topic: TimelineTopic.Drain, name: "started" } },
  ],
});
