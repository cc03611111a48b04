/** Timer tick of the ledger: claims, held shards and shard placement. */

import type { Moment } from "@cardamomglade/common";
import type { RouterState } from "../types.js";
import { claimTimedOut } from "./claimAnswered.js";
import { passClaimTime } from "./ledgerClaims.js";
import { passPlacementTime } from "./ledgerPlacement.js";
import { passShardTime } from "./ledgerShards.js";
import type { RouterStep } from "./types.js";

/** Passes the timer tick to claims, shards and placement; fails the calls whose claim timed out. */
export const tendLedger = (state: RouterState, at: Moment): RouterStep => {
  const claims = passClaimTime(state, at);
  const failed = claims.timedOut.flatMap((requestId) => [
    ...claimTimedOut(state, requestId).commands,
  ]);
  const shards = passShardTime(state, at);
  const placed = passPlacementTime(state, at);
  const commands = [...shards, ...placed, ...claims.commands, ...failed];
  return { state, commands };
};
