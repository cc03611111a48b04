/**
 * Lets one request at a time test quarantined blocks after their hold. Load
 * pattern: blocks that no longer end engines come at any router, and each test of
 * blocks that are not costs an engine and the streams on it.
 */

import { publishItem } from "../gossip/spreadGossip.js";
import { logLine } from "../logLine.js";
import type { RelayCommand } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";
import { trialHoldMs, trialSpacingMs } from "./constants.js";
import { endHeldExchange, itemOf } from "./quarantines.js";
import { quarantinesOf, rankOf } from "./quarantineState.js";
import type { Quarantine } from "./types.js";

/** Whether this router may test now; the times of routers come one after the other. */
const isTrialDue = (state: RelayState, quarantine: Quarantine): boolean => {
  const { key, holdCount, heldUntil } = quarantine;
  if (state.at < heldUntil) return false;
  const rank = rankOf(state, `${key}/${String(holdCount)}`);
  return state.at >= heldUntil + rank * trialSpacingMs;
};

/**
 * Admits a new request: undefined if it may be sent, else the commands that
 * refuse it.
 */
export const holdBack = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] | undefined => {
  const matching = quarantinesOf(state, exchange.request);
  const holding = matching.find((one) => !isTrialDue(state, one));
  return holding && endHeldExchange(state, exchange, holding);
};

/** Makes a request that was admitted the test of its blocks; others wait for its outcome. */
export const startTrials = (
  state: RelayState,
  { key, request }: Exchange,
): RelayCommand[] =>
  quarantinesOf(state, request).map((quarantine) => {
    quarantine.trialKey = key;
    quarantine.heldUntil = state.at + trialHoldMs;
    publishItem(state, itemOf(quarantine));
    return logLine("request tests quarantined prompt blocks", {
      requestId: request.requestId,
      promptBlocks: quarantine.blockIds,
      holdCount: quarantine.holdCount,
    });
  });
