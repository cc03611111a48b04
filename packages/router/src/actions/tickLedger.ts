/** Timer tick of the ledger: claims, held shards and shard placement. */

import type { Timestamp } from "@cardamomglade/common";
import type { RouterState } from "../types.js";
import { claimTimedOut } from "./claimAnswerReceived.js";
import { tickClaims } from "./ledgerClaims.js";
import { tickPlacement } from "./ledgerPlacement.js";
import { tickShards } from "./ledgerShards.js";
import type { RouterStep } from "./types.js";

/** Passes the timer tick to claims, shards and placement; fails the calls whose claim timed out. */
export const tickLedger = (state: RouterState, at: Timestamp): RouterStep => {
  const claims = tickClaims(state, at);
  const failed = claims.timedOut.flatMap((requestId) => [
    ...claimTimedOut(state, requestId).commands,
  ]);
  const shards = tickShards(state, at);
  const placement = tickPlacement(state, at);
  const commands = [...shards, ...placement, ...claims.commands, ...failed];
  return { state, commands };
};
