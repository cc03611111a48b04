/** Log commands of decisions. */

import { Severity } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "./commands.js";

/** Creates a log command; the severity defaults to info. */
export const logLine = (
  message: string,
  context: DecisionContext,
  severity = Severity.Info,
): RelayCommand => ({ type: "log", severity, message, context });
