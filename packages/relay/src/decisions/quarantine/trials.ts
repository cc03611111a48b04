/**
 * Lets one request at a time test what is quarantined after its hold. Load
 * pattern: requests that no longer end replicas come at any router, and each test
 * of one that does costs a replica and what it was answering.
 */

import { publishItem } from "../gossip/spreadGossip.js";
import { logLine } from "../logLine.js";
import { rankOf } from "../registration.js";
import type { RelayCommand } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";
import { describeCauses } from "./causes.js";
import { trialHoldMs, trialSpacingMs } from "./constants.js";
import { endHeldExchange, itemOf } from "./quarantines.js";
import { quarantinesOf } from "./quarantineState.js";
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
    return logLine("request tests a quarantine", {
      requestId: request.requestId,
      ...describeCauses(quarantine.blockIds),
      holdCount: quarantine.holdCount,
    });
  });
