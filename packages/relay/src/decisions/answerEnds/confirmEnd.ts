/**
 * Asks a replica about an answer that ended with its connection. Load pattern: replicas
 * crash while they answer without a length or chunks; the host closes the connections of
 * a process that ended in the same way as the process itself does behind a whole answer.
 */

import { isIdBackingOff } from "../backOff/backOffs.js";
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
  const isPlain = engineOf(state, service) === undefined;
  // A report is a request: an engine that wants none is not asked.
  const isAsked = isPlain || !isIdBackingOff(state, replica.id);
  const until = sentAt + (isAsked ? endConfirmationTimeoutMs : 0);
  attempt.unconfirmedEnd = { endedAt: sentAt, until, answer };
  if (!isAsked) return [];
  return isPlain
    ? [{ type: "probeConnection", replica, sentAt }]
    : [{ type: "probe", replica, sentAt }];
};
