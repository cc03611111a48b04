/** Time passed: deadlines and silence are looked at. */

import type { Moment } from "@cardamomglade/common";
import type { RouterCommand, RouterState } from "../types.js";
import { claimTimedOut } from "./claimAnswered.js";
import { passLeaseTime } from "./leaseRoles.js";
import { passClaimTime } from "./ledgerClaims.js";
import { passPlacementTime } from "./ledgerPlacement.js";
import { passShardTime } from "./ledgerShards.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

const passLedgerTime = (state: RouterState, at: Moment): RouterCommand[] => {
  const claims = passClaimTime(state, at);
  const failed = claims.timedOut.flatMap((requestId) => [
    ...claimTimedOut(state, requestId).commands,
  ]);
  return [
    ...passShardTime(state, at),
    ...passPlacementTime(state, at),
    ...claims.commands,
    ...failed,
  ];
};

/** Tells every stream and every lease the time. */
export const timePassed: Action<"timePassed"> = (state, { at }) => {
  let current: RouterState = state;
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const step = stepStream({
      state: current,
      entry,
      event: { type: "timePassed", at },
    });
    current = step.state;
    commands.push(...step.commands);
  }
  commands.push(...passLeaseTime(current, at), ...passLedgerTime(current, at));
  return { state: current, commands };
};
