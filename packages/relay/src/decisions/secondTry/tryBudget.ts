/**
 * Limits second tries to a part of the idempotent requests over a sliding window, and to
 * what the shared budget of repeats can spare. Load pattern: many answers are slow at once.
 */

import { RequestKind } from "../../types.js";
import { remainingRetries, removeUpTo, takeRetry } from "../retryBudget.js";
import type { Exchange, RelayState } from "../types.js";
import {
  refusalWindowMs,
  reservedBudgetRatio,
  shareWindowMs,
} from "./constants.js";
import { secondTryShareOf, serviceTriesOf } from "./secondTryState.js";
import { addToCounts, countAfter } from "./windowCount.js";

/** Counts the first sending of an idempotent request. */
export const recordFirstSending = (
  state: RelayState,
  exchange: Exchange,
): void => {
  if (secondTryShareOf(state) === 0) return;
  if (exchange.route.kind !== RequestKind.Idempotent) return;
  const { firsts } = serviceTriesOf(state, exchange.service);
  addToCounts(firsts, state.at, state.at - shareWindowMs);
};

/** Counts the refusal of an idempotent request by a full replica. */
export const recordRefusal = (state: RelayState, exchange: Exchange): void => {
  if (secondTryShareOf(state) === 0) return;
  if (exchange.route.kind !== RequestKind.Idempotent) return;
  const { refusals } = serviceTriesOf(state, exchange.service);
  addToCounts(refusals, state.at, state.at - refusalWindowMs);
};

/** Whether the operators' limit allows one more second try at a service now. */
const isWithinShare = (state: RelayState, service: string): boolean => {
  const { firsts, sent } = serviceTriesOf(state, service);
  const start = state.at - shareWindowMs;
  removeUpTo(sent, start);
  const allowed = secondTryShareOf(state) * countAfter(firsts, start);
  return sent.length + 1 <= allowed;
};

/** Whether the shared budget has more left than lost attempts may need. */
const isBudgetSpare = (state: RelayState, service: string): boolean => {
  const { ratio, windowMs } = state.runtimeLimits.retryLimits;
  const { firsts } = serviceTriesOf(state, service);
  const firstCount = countAfter(firsts, state.at - windowMs);
  const reserved = reservedBudgetRatio * ratio * firstCount;
  return remainingRetries(state, service, state.at) >= reserved + 1;
};

/** Takes a second try from both budgets; returns whether there was one. */
export const takeSecondTry = (state: RelayState, service: string): boolean => {
  if (!isWithinShare(state, service) || !isBudgetSpare(state, service))
    return false;
  if (!takeRetry(state, service, state.at)) return false;
  serviceTriesOf(state, service).sent.push(state.at);
  return true;
};
