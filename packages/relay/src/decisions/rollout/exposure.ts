/**
 * Limits the requests that a new version gets before it is trusted, without a message:
 * each router sends it a part of the requests that it has itself sent to the service, so
 * that the sum over any routers stays below that part of all. Load pattern: a bad version
 * beside a good one in a fleet whose routers start, stop and are cut off.
 */

import { hasCandidate } from "../chooseReplica.js";
import { sharingRouterCount } from "../registration.js";
import type { Replica } from "../../types.js";
import type { Exchange, RelayState } from "../types.js";
import {
  exposingPart,
  movingPart,
  movingSlackPart,
  exposingSlackPart,
} from "./constants.js";
import {
  isNewVersion,
  isStopped,
  rolloutInForce,
  rolloutLimitsOf,
} from "./rolloutState.js";
import {
  RolloutAim,
  RolloutPhase,
  RolloutReason,
  type Rollout,
} from "./types.js";

/** Requests that this router may have sent to the new version by now. */
const allowanceOf = (state: RelayState, rollout: Rollout): number => {
  const { exposureShare, exposureSlack } = rolloutLimitsOf(state);
  const { phase, firstSent, initialCredit, startedAt, order } = rollout;
  const isMoving = phase === RolloutPhase.Moving;
  // Spread over the time, so that a version that is bad later meets requests then.
  const elapsed = Math.min(1, (state.at - startedAt) / order.durationMs);
  const sharePart = isMoving ? movingPart : exposingPart;
  const slackPart = isMoving ? movingSlackPart : exposingSlackPart * elapsed;
  return (
    initialCredit +
    sharePart * exposureShare * firstSent +
    (slackPart * exposureSlack) / sharingRouterCount(state)
  );
};

const shareReason = (state: RelayState, rollout: Rollout): RolloutReason => {
  if (rollout.phase === RolloutPhase.Completed) return RolloutReason.Completed;
  // Before the first entry no router can be told of a fault by the store.
  if (rollout.phase === undefined) return RolloutReason.NotBegun;
  if (isStopped(rollout)) return RolloutReason.Stopped;
  // A fault that others found would not be known here.
  const { rollbackTimeoutMs } = rolloutLimitsOf(state);
  if (state.at - state.storeHeardAt >= rollbackTimeoutMs)
    return RolloutReason.StoreSilent;
  return rollout.exposed + 1 <= allowanceOf(state, rollout)
    ? RolloutReason.WithinShare
    : RolloutReason.ShareSpent;
};

const hasReplica = (
  state: RelayState,
  { service, triedIds }: Exchange,
  rolloutAim: RolloutAim,
): boolean => hasCandidate(state, { service, excluded: triedIds, rolloutAim });

const isForNewVersion = (reason: RolloutReason): boolean =>
  reason === RolloutReason.WithinShare || reason === RolloutReason.Completed;

const aimReason = (
  state: RelayState,
  rollout: Rollout,
  exchange: Exchange,
): RolloutReason => {
  // Before the move a repeat goes to the old version.
  if (exchange.nextNumber > 0 && rollout.phase === RolloutPhase.Exposing)
    return RolloutReason.Repeat;
  const reason = shareReason(state, rollout);
  if (!isForNewVersion(reason)) return reason;
  return hasReplica(state, exchange, RolloutAim.New)
    ? reason
    : RolloutReason.NoReplica;
};

/** Decides which version a request is sent to next. */
export const aimAtVersion = (state: RelayState, exchange: Exchange): void => {
  const { service, softwareVersion, rolloutAim } = exchange;
  const rollout = rolloutInForce(state, service);
  if (rollout === undefined || softwareVersion !== undefined) return;
  if (rolloutAim === RolloutAim.New) return;
  const reason = aimReason(state, rollout, exchange);
  exchange.rolloutReason = reason;
  exchange.rolloutAim = RolloutAim.Old;
  if (!isForNewVersion(reason)) return;
  exchange.rolloutAim = RolloutAim.New;
  rollout.exposed += 1;
};

/** Sends a request to the old version if no replica of the new one can take it any more. */
export const aimBack = (state: RelayState, exchange: Exchange): void => {
  if (exchange.rolloutAim !== RolloutAim.New) return;
  if (hasReplica(state, exchange, RolloutAim.New)) return;
  exchange.rolloutAim = RolloutAim.Old;
  exchange.rolloutReason = RolloutReason.NoReplica;
  const rollout = rolloutInForce(state, exchange.service);
  if (rollout !== undefined) rollout.exposed -= 1;
};

/** Counts a request that is sent to a replica. */
export const noteRolloutSend = (
  state: RelayState,
  exchange: Exchange,
  { softwareVersion }: Replica,
): void => {
  const rollout = state.rollouts.services.get(exchange.service);
  if (rollout === undefined) return;
  const isFirst =
    exchange.nextNumber === 0 && exchange.request.handover === undefined;
  if (isFirst) rollout.firstSent += 1;
  if (!isNewVersion(rollout, softwareVersion)) return;
  // The aim has counted the request already.
  if (exchange.rolloutAim === RolloutAim.New)
    exchange.rolloutAim = RolloutAim.NewSent;
  else rollout.exposed += 1;
};
