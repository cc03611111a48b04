/** Writes the decisions' log lines. */

import { createChannel } from "@cardamomglade/common";
import type { Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import type { RelayDriver } from "./types.js";

/** Logs what decisions tell. */
export const createLogDriver = (log: Log<DecisionContext>): RelayDriver => ({
  events: createChannel<RelayEvent>().stream,
  perform: (command) => {
    if (command.type !== "log") return;
    log(command.severity, command.message, command.context);
  },
  stop: () => Promise.resolve(),
});
