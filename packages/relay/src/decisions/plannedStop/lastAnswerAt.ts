/** Time by which a process that stops has answered its callers. */

import type { Timestamp } from "@cardamomglade/common";
import { lastAnswerMs } from "./constants.js";
import type { RelayState } from "../types.js";

/** Returns that time; it never comes for a process that does not stop. */
export const lastAnswerAt = ({ plannedStop }: RelayState): Timestamp =>
  (plannedStop?.endsAt ?? Infinity) - lastAnswerMs;
