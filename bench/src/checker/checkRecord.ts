/** Checks a run's record against every promise. */

import { checkAnswers } from "./checkAnswers.js";
import { checkCalls } from "./checkCalls.js";
import { checkConfiguration } from "./checkConfiguration.js";
import { checkDenials } from "./checkDenials.js";
import { checkLeaving } from "./checkLeaving.js";
import type { RunRecord, Violation } from "./types.js";

/** Every promise that the record shows broken. */
export const checkRecord = (record: RunRecord): Violation[] => [
  ...checkAnswers(record),
  ...checkDenials(record),
  ...checkCalls(record),
  ...checkLeaving(record),
  ...checkConfiguration(record),
];
