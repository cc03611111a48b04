/**
 * Asks a replica about an answer that ended with its connection. Load pattern: replicas
 * crash while they answer without a length or chunks; the host closes the connections of
 * a process that ended in the same way as the process itself does behind a whole answer.
 */

import { endConfirmationTimeoutMs } from "../constants.js";
import { engineOf } from "../engineOf.js";
import type { RelayCommand } from "../commands.js";
import type {
  Attempt,
  BufferedResponse,
  Exchange,
  RelayState,
} from "../types.js";

/** Holds back the end of an attempt's answer until its replica was asked about it. */
export const confirmEnd = (
  state: RelayState,
  { service }: Exchange,
  attempt: Attempt,
  answer?: BufferedResponse,
): RelayCommand[] => {
  const { at: sentAt } = state;
  const { replica } = attempt;
  const until = sentAt + endConfirmationTimeoutMs;
  attempt.unconfirmedEnd = { endedAt: sentAt, until, answer };
  return engineOf(state, service) === undefined
    ? [{ type: "probeConnection", replica, sentAt }]
    : [{ type: "probe", replica, sentAt }];
};
