/** Writes a log line when the memory budget gets short, and when it has room again. */

import { now } from "@cardamomglade/common";
import { Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../../decisions/commands.js";
import { totalBytes } from "../../decisions/memory/countBytes.js";
import type { MemoryBudget } from "./memoryBudget.js";

const lineIntervalMs = 5000; // of lines about shortages, at least

/** Starts the lines; returns what ends them. */
export const logShortages = (
  budget: MemoryBudget,
  log: Log<DecisionContext>,
): (() => void) => {
  let nextLineAt = 0;
  let isTold = false;
  return budget.onShortage((isShort, use) => {
    if (isShort && now() < nextLineAt) return;
    if (!isShort && !isTold) return;
    isTold = isShort;
    if (isShort) nextLineAt = now() + lineIntervalMs;
    log(
      isShort ? Severity.Warn : Severity.Info,
      isShort ? "memory is short" : "memory has room again",
      { heldBytes: totalBytes(use), maxBytes: use.maxBytes, ...use.heldBytes },
    );
  });
};
