/** Time after which an idempotent request's answer is overdue. */

import type { Route } from "../../types.js";
import {
  attemptTimeoutTargetFactor,
  minAttemptTimeoutMs,
} from "../constants.js";

/** Time that an attempt has before another replica is asked. */
export const attemptTimeoutMsOf = ({ targetLatencyMs }: Route): number =>
  Math.max(minAttemptTimeoutMs, attemptTimeoutTargetFactor * targetLatencyMs);
