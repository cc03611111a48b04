/**
 * Knows how long answers of each route take, and whether a request can still end
 * before this process does. Load pattern: a planned stop with a short grace, while
 * callers keep their connections open and send on.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { Route } from "../../types.js";
import { isRetryable } from "../isRetryable.js";
import { lastAnswerAt } from "./lastAnswerAt.js";
import { durationSampleWeight, durationDeviationCount } from "../constants.js";
import type { AnswerDuration, Exchange, RelayState } from "../types.js";

const blend = (before: number, sample: number): number =>
  before + durationSampleWeight * (sample - before);

/** Records the time from a request's arrival to the end of its answer. */
export const recordDuration = (
  { answerDurations, at }: RelayState,
  { route, request }: Exchange,
): void => {
  const tookMs = at - request.arrivedAt;
  const known = answerDurations.get(route.name);
  const next: AnswerDuration =
    known === undefined
      ? { meanMs: tookMs, deviationMs: tookMs / 2 }
      : {
          meanMs: blend(known.meanMs, tookMs),
          deviationMs: blend(
            known.deviationMs,
            Math.abs(tookMs - known.meanMs),
          ),
        };
  answerDurations.set(route.name, next);
};

/** Forgets routes that the configuration does not have any more. */
export const forgetDurations = (
  { answerDurations }: RelayState,
  routes: readonly Route[],
): void => {
  const names = new Set(routes.map(({ name }) => name));
  for (const name of [...answerDurations.keys()])
    if (!names.has(name)) answerDurations.delete(name);
};

/**
 * Time that an answer needs: the usual one for what can go on elsewhere, one with a
 * margin for what cannot, and the route's timeout while nothing is known.
 */
const neededMs = ({ answerDurations }: RelayState, route: Route): number => {
  const known = answerDurations.get(route.name);
  if (known === undefined) return route.timeoutMs;
  const { meanMs, deviationMs } = known;
  return isRetryable(route)
    ? meanMs
    : meanMs + durationDeviationCount * deviationMs;
};

/** Time by which the answer to a request that arrives now is expected to end. */
export const expectedEndOf = (state: RelayState, route: Route): Timestamp =>
  state.at + neededMs(state, route);

/** Whether a request that arrives now can be answered before the process ends. */
export const canEndInTime = (state: RelayState, route: Route): boolean =>
  expectedEndOf(state, route) <= lastAnswerAt(state);
