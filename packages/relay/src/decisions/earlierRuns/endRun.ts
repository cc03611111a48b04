/** Ends runs that their requests left, and the wait of those requests. */

import type { RelayCommand } from "../commands.js";
import { closeFallback } from "../endExchange.js";
import type { Exchange, RelayState } from "../types.js";
import { forgetRun, runEndLogLine } from "./followRuns.js";
import { goOnAfterEnd } from "./goOn.js";
import type { EarlierRun, RunEndEvidence } from "./types.js";

/** The request that waits for the end of a run; undefined if none does. */
export const waitingFor = (state: RelayState, { key, attempt }: EarlierRun) => {
  const exchange = state.exchanges.get(key);
  if (exchange?.wait.type !== "runEnd" || exchange.wait.attempt !== attempt)
    return undefined;
  return { exchange, wait: exchange.wait };
};

/** Whether a request has returned to a run: its replica went on before it was stopped. */
export const returnedTo = (
  state: RelayState,
  { key, attempt }: EarlierRun,
): Exchange | undefined => {
  const exchange = state.exchanges.get(key);
  return exchange?.attempt?.number === attempt ? exchange : undefined;
};

/**
 * Closes the open connection of a run that has ended while its request is served elsewhere:
 * what the connection still brings would take the request back to nothing.
 */
const closeEnded = (
  state: RelayState,
  { key, attempt }: EarlierRun,
): RelayCommand[] => {
  const exchange = state.exchanges.get(key);
  const isOpen = exchange?.fallback?.attempt.number === attempt;
  return isOpen ? closeFallback(state, exchange) : [];
};

/** Ends the wait for a run that has ended, or the attempt of a request that returned to it. */
export const endRun = (
  state: RelayState,
  run: EarlierRun,
  evidence: RunEndEvidence,
): RelayCommand[] => {
  forgetRun(state, run);
  const line = runEndLogLine(state, run, evidence);
  const waiting = waitingFor(state, run);
  if (waiting === undefined) return [line, ...closeEnded(state, run)];
  return [line, ...goOnAfterEnd(state, waiting.exchange, waiting.wait)];
};

/**
 * Handles a run whose replica refuses connections. Its request goes on; whether it has ended
 * is known once another replica was connected to, and not if the path is lost.
 */
export const runWasRefused = (
  state: RelayState,
  run: EarlierRun,
): RelayCommand[] => {
  run.refusedAt ??= state.at;
  const waiting = waitingFor(state, run);
  return waiting === undefined
    ? []
    : goOnAfterEnd(state, waiting.exchange, waiting.wait);
};
