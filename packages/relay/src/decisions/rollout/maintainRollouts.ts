/**
 * Takes the next step of each roll-out: judges the version, and writes the phase that is
 * due. The first router in the service's order writes, else the next. Load pattern: a
 * roll-out whose routers and store fail one after the other, with a deadline.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import { isAvailable, replicasOf } from "../replicaViews.js";
import type { RelayState } from "../types.js";
import {
  completionMargin,
  doubtfulEvidence,
  doubtfulCompletionDelayMs,
  maxMoveRatio,
  minMoveMs,
  unreadCompletion,
  ownWriteShownMs,
  completionWaitRatio,
  phaseWriteRetryMs,
  phaseWriteSpacingMs,
  testIntervalMs,
  moveSharePart,
  moveSlackPart,
} from "./constants.js";
import { judgeVersion } from "./judge.js";
import { noteFault } from "./noteFault.js";
import { recordLateAnswers } from "./recordAnswer.js";
import {
  hasOldWork,
  knownFirstSent,
  knowsMostRouters,
  sendReport,
} from "./reports.js";
import {
  deadlineOf,
  hasOldReplica,
  highestEvidence,
  isFinal,
  isNewVersion,
  rolloutLimitsOf,
} from "./rolloutState.js";
import { readPassedOver } from "./rolloutsRead.js";
import { RolloutPhase, type Rollout } from "./types.js";
import { writerRankOf } from "./writerRank.js";

/** Time between the completion and the deadline in which other routers may have to write it. */
const marginMsOf = ({ order }: Rollout): number => {
  const { ratio, minMs, maxMs } = completionMargin;
  return Math.min(maxMs, Math.max(minMs, ratio * order.durationMs));
};

/**
 * Time at which the move begins: so late that all requests until the deadline are within
 * the allowance, should the version turn bad then.
 */
const moveAtOf = (state: RelayState, rollout: Rollout): Timestamp => {
  const { durationMs } = rollout.order;
  const { exposureShare, exposureSlack } = rolloutLimitsOf(state);
  const elapsedMs = Math.max(1, state.at - rollout.startedAt);
  const perMs = Math.max(1, knownFirstSent(rollout)) / elapsedMs;
  // Without the counts of others the slack may be a moment of all requests.
  const slackMs = knowsMostRouters(state, rollout)
    ? (moveSlackPart * exposureSlack) / perMs
    : 0;
  const moveMs = Math.min(
    maxMoveRatio * durationMs,
    moveSharePart * exposureShare * durationMs + slackMs,
  );
  const lastMs = marginMsOf(rollout) + minMoveMs;
  return deadlineOf(rollout) - Math.max(moveMs, lastMs);
};

const hasNewReplica = (state: RelayState, rollout: Rollout): boolean =>
  replicasOf(state, rollout.order.service).some(
    (view) =>
      isNewVersion(rollout, view.replica.softwareVersion) && isAvailable(view),
  );

/** A version of which no replica came by the deadline is given up. */
const withoutNewReplica = (
  state: RelayState,
  rollout: Rollout,
): RolloutPhase | undefined => {
  if (state.at > deadlineOf(rollout)) return RolloutPhase.RolledBack;
  return rollout.phase === undefined ? RolloutPhase.Exposing : undefined;
};

/** Time by which the deadline is earlier than this router knows, as far as the allowance lets the completion follow it. */
const unreadMsOf = ({ startedAt, writtenFrom, order }: Rollout): number => {
  const { part, maxRatio } = unreadCompletion;
  const unreadMs = part * (startedAt - writtenFrom);
  return Math.min(maxRatio * order.durationMs, unreadMs);
};

/** A version in doubt is completed late; work at old replicas delays the completion a little. */
const afterMove = (
  state: RelayState,
  rollout: Rollout,
): RolloutPhase | undefined => {
  const { at } = state;
  const deadline = deadlineOf(rollout);
  const marginMs = marginMsOf(rollout);
  const unreadMs = unreadMsOf(rollout);
  const completeAt = deadline - marginMs - unreadMs;
  if (at < Math.max(completeAt, rollout.phaseAt + minMoveMs)) return undefined;
  const isInDoubt = highestEvidence(rollout) >= doubtfulEvidence;
  if (isInDoubt && at < deadline + doubtfulCompletionDelayMs) return undefined;
  const waitsUntil = completeAt + completionWaitRatio * marginMs - unreadMs;
  const isWaiting = at < waitsUntil && hasOldWork(state, rollout);
  return isWaiting ? undefined : RolloutPhase.Completed;
};

/** A final phase that the store has lost is due again. */
const lostEnd = (
  { at }: RelayState,
  { phase, phaseAt, storedPhase, withdrawnAt }: Rollout,
): RolloutPhase | undefined => {
  const isShown = storedPhase === phase || at - phaseAt < ownWriteShownMs;
  return isShown || withdrawnAt !== undefined ? undefined : phase;
};

/** The phase that is due; undefined if the present one stays. */
const duePhase = (
  state: RelayState,
  rollout: Rollout,
): RolloutPhase | undefined => {
  const { phase, fault, withdrawnAt } = rollout;
  if (isFinal(phase)) return lostEnd(state, rollout);
  if (fault !== undefined || withdrawnAt !== undefined)
    return RolloutPhase.RolledBack;
  if (!hasNewReplica(state, rollout)) return withoutNewReplica(state, rollout);
  // Nothing is left to move.
  if (!rollout.hasOldVersion) return RolloutPhase.Completed;
  if (phase === undefined) return RolloutPhase.Exposing;
  if (phase === RolloutPhase.Moving) return afterMove(state, rollout);
  return state.at >= moveAtOf(state, rollout) ? RolloutPhase.Moving : undefined;
};

const writePhase = (state: RelayState, rollout: Rollout): RelayCommand[] => {
  const phase = duePhase(state, rollout);
  if (phase === undefined) {
    rollout.writeAt = undefined;
    return [];
  }
  const { order, withdrawnAt } = rollout;
  rollout.writeAt ??=
    state.at + writerRankOf(state, rollout) * phaseWriteSpacingMs;
  if (state.at < rollout.writeAt || state.store.type !== "available") return [];
  rollout.writeAt = state.at + phaseWriteRetryMs;
  const write = {
    service: order.service,
    version: order.version,
    orderId: order.id,
    phase,
    hasOldVersion: rollout.hasOldVersion,
    mistrusted: [...rollout.mistrusted],
    replaces: rollout.entryRevision,
    orderRevision: withdrawnAt === undefined ? order.revision : 0,
  };
  return [{ type: "writeRollout", write }];
};

const judge = (state: RelayState, rollout: Rollout): RelayCommand[] => {
  if (state.at < rollout.nextTestAt || isFinal(rollout.phase)) return [];
  rollout.nextTestAt = state.at + testIntervalMs;
  const fault = judgeVersion(rollout, state.at);
  return fault === undefined
    ? []
    : noteFault(state, rollout, fault, state.router);
};

/** Judges new versions, tells other routers of them and writes the phases that are due. */
export const maintainRollouts = (state: RelayState): RelayCommand[] => {
  const commands = readPassedOver(state);
  recordLateAnswers(state);
  for (const rollout of state.rollouts.services.values()) {
    const { order, mistrusted } = rollout;
    rollout.hasOldVersion ||= hasOldReplica(state, order, mistrusted);
    commands.push(
      ...judge(state, rollout),
      ...writePhase(state, rollout),
      ...sendReport(state, rollout),
    );
  }
  return commands;
};
