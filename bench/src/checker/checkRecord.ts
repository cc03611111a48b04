/** Checks the record of a run against all guarantees. */

import { checkAnswers } from "./checkAnswers.js";
import { checkCalls } from "./checkCalls.js";
import { checkConfiguration } from "./checkConfiguration.js";
import { checkDenials } from "./checkDenials.js";
import { checkLeaving } from "./checkLeaving.js";
import type { RunRecord, Violation } from "./types.js";

/** Returns all violations that the record shows. */
export const checkRecord = (record: RunRecord): Violation[] => [
  ...checkAnswers(record),
  ...checkDenials(record),
  ...checkCalls(record),
  ...checkLeaving(record),
  ...checkConfiguration(record),
];
