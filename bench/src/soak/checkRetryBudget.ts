/** Checks the fleet's retries against its retry budget. */

import { soakBounds } from "./soakSettings.js";
import type { Arrival, SoakRecord, SoakViolation } from "./types.js";

/** Times at which the attempts of one service arrived, in order. */
interface ServiceAttempts {
  readonly firstAttempts: number[];
  readonly retries: number[];
}

const countWithin = (
  times: readonly number[],
  after: number,
  upTo: number,
): number => times.filter((at) => at > after && at <= upTo).length;

/**
 * First attempts that pay for the retries of the window that ends at a time: those of that
 * window, of the one before it, or of the one half a window earlier, whichever are most.
 */
const payingAttemptCount = (
  firstAttempts: readonly number[],
  endsAt: number,
): number => {
  const { retryWindowMs } = soakBounds;
  const counts = [0, 0.5, 1].map((part) => {
    const upTo = endsAt - part * retryWindowMs;
    return countWithin(firstAttempts, upTo - retryWindowMs, upTo);
  });
  return Math.max(...counts);
};

const recordAttempt = (
  attempts: ServiceAttempts,
  { at }: Arrival,
  isFirst: boolean,
): void => {
  (isFirst ? attempts.firstAttempts : attempts.retries).push(at);
};

/** Finds arrivals that the retry budget of their service does not cover. */
export const checkRetryBudget = ({ arrivals }: SoakRecord): SoakViolation[] => {
  const { retryBudgetRatio, extraRetryCount, retryWindowMs } = soakBounds;
  const seenRequests = new Set<string>();
  const attemptsByService = new Map<string, ServiceAttempts>();
  const violations: SoakViolation[] = [];
  for (const arrival of arrivals) {
    const { requestId, service, at, isContinued } = arrival;
    if (isContinued) continue;
    const attempts = attemptsByService.get(service) ?? {
      firstAttempts: [],
      retries: [],
    };
    attemptsByService.set(service, attempts);
    recordAttempt(attempts, arrival, !seenRequests.has(requestId));
    seenRequests.add(requestId);
    const retryCount = countWithin(attempts.retries, at - retryWindowMs, at);
    const payingCount = payingAttemptCount(attempts.firstAttempts, at);
    if (retryCount <= retryBudgetRatio * payingCount + extraRetryCount)
      continue;
    const message = `${String(retryCount)} retries to ${service} for ${String(payingCount)} first attempts`;
    violations.push({ promise: "repeats", requestId, message });
  }
  return violations;
};
