/** Handles a configuration read from the key-value service or received from a peer. */

import { applyConfig } from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { EventHandler } from "./types.js";

/** Applies the configuration if it is newer than the one in force. */
export const configurationRead: EventHandler<"configurationRead"> = (
  state,
  { accepted, source = "store" },
) => {
  const config = applyConfig(state.config, accepted);
  if (config === state.config) return { state, commands: [] };
  const { revision } = config;
  return {
    state: { ...state, config },
    commands: [
      {
        type: "record",
        event: {
          topic: TimelineTopic.Configuration,
          name: "inForce",
          revision,
          detail: source,
        },
      },
    ],
  };
};
