/** Writes the log lines of decisions. */

import { createSinkDriver } from "@cardamomglade/common";
import type { Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../decisions/commands.js";
import type { RelayDriver } from "./types.js";

/** Creates the driver that performs log commands. */
export const createLogDriver = (log: Log<DecisionContext>): RelayDriver =>
  createSinkDriver((command) => {
    if (command.type !== "log") return;
    log(command.severity, command.message, command.context);
  });
