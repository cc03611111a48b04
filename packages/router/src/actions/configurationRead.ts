/** A configuration was read from the key-value service or a peer. */

import { applyConfig } from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { Action } from "./types.js";

/** Puts the configuration in force if it is newer. */
export const configurationRead: Action<"configurationRead"> = (
  state,
  event,
) => {
  const config = applyConfig(state.config, event.accepted);
  if (config === state.config) return { state, commands: [] };
  return {
    state: { ...state, config },
    commands: [
      {
        type: "record",
        event: {
          topic: TimelineTopic.Configuration,
          name: "inForce",
          revision: config.revision,
        },
      },
    ],
  };
};
