/** Attempts for tests of drivers. */

import { now } from "@cardamomglade/common";
import type { Attempt } from "../decisions/types.js";
import type { Replica } from "../types.js";

/** A first attempt at a replica that starts from the prompt. */
export const testAttempt = (replica: Replica): Attempt => ({
  number: 0,
  replica,
  start: { type: "fresh" },
  sentAt: now(),
  expectedEndAt: undefined,
  readingFactor: undefined,
  mayHaveExecutedBefore: false,
  isCounted: true,
  copyTo: undefined,
  copy: undefined,
  copyRequestedAt: undefined,
  rejectedHolders: new Set(),
  isConnected: false,
  heardAt: now(),
  progressedAt: now(),
  isHeldBack: false,
  hasEvents: false,
  head: undefined,
  eventCount: 0,
  firstEventAt: undefined,
  isEstablished: false,
  unconfirmedEnd: undefined,
  endEvidence: undefined,
  stopCount: 0,
  isTimed: false,
});
