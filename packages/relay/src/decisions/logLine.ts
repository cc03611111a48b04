/** Log lines of decisions. */

import { Severity } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "./commands.js";

/** One line; most tell of what goes as it should. */
export const logLine = (
  message: string,
  context: DecisionContext,
  severity = Severity.Info,
): RelayCommand => ({ type: "log", severity, message, context });
