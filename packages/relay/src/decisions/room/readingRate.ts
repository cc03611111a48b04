/**
 * Learns how fast the engines of a service read prompts. Load pattern: long prompts, each
 * of which takes an engine about a second, at a router that sees few of them.
 */

import type { Attempt, Exchange, RelayState } from "../types.js";
import {
  assumedTokensPerMs,
  minTimedPromptTokens,
  readingRateWeight,
} from "./constants.js";

/** Prompt tokens that an engine of the service reads in a millisecond. */
export const readingRateOf = (
  { readingRates }: RelayState,
  service: string,
): number => readingRates.get(service) ?? assumedTokensPerMs;

/**
 * Learns from a first event. Only a prompt that was the only one there when it was sent,
 * and was read whole, tells the rate.
 */
export const learnReadingRate = (
  state: RelayState,
  { service, request }: Exchange,
  { start, sentAt, isAloneInPrefill, hasEvents }: Attempt,
): void => {
  const { promptTokens } = request;
  if (hasEvents || start.type !== "fresh" || !isAloneInPrefill) return;
  if (promptTokens === undefined || promptTokens < minTimedPromptTokens) return;
  const elapsedMs = Math.max(1, state.at - sentAt);
  const known = readingRateOf(state, service);
  const rate = known + readingRateWeight * (promptTokens / elapsedMs - known);
  state.readingRates.set(service, rate);
};
