/**
 * Learns how fast the engines of a service read prompts. Load pattern: long prompts, each
 * of which takes an engine about a second, at a router that sees few of them.
 */

import type { Attempt, Exchange, RelayState } from "../types.js";
import {
  assumedTokensPerMs,
  minTokensPerMs,
  minTimedPromptTokens,
  readingRateWeight,
} from "./constants.js";
import type { RequestSize } from "./types.js";

/** Prompt tokens that an engine of the service reads in a millisecond. */
export const readingRateOf = (
  { readingRates }: RelayState,
  service: string,
): number => readingRates.get(service) ?? assumedTokensPerMs;

/** Time to read the prompt of a request at an engine that does nothing else. */
export const readingMsOf = (
  state: RelayState,
  service: string,
  { promptTokens }: RequestSize,
): number => promptTokens / readingRateOf(state, service);

/**
 * Learns from a first event. Only a prompt that was the only one there when it was sent,
 * and was read whole, tells the rate; runs that generate beside it are taken into account.
 */
export const learnReadingRate = (
  state: RelayState,
  { service, request }: Exchange,
  { start, sentAt, readingFactor, hasEvents }: Attempt,
): void => {
  const { promptTokens } = request;
  if (hasEvents || start.type !== "fresh") return;
  if (readingFactor === undefined) return;
  if (promptTokens === undefined || promptTokens < minTimedPromptTokens) return;
  const idleMs = Math.max(1, state.at - sentAt) / readingFactor;
  const known = readingRateOf(state, service);
  const rate = known + readingRateWeight * (promptTokens / idleMs - known);
  state.readingRates.set(service, Math.max(rate, minTokensPerMs));
};
