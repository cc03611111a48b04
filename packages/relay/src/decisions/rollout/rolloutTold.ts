/** Takes over what another router tells of a roll-out. */

import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { isKnownRouter } from "../registration.js";
import type { RelayState } from "../types.js";
import { applyPhase } from "./applyPhase.js";
import { maxRollouts } from "./constants.js";
import { noteFault } from "./noteFault.js";

/** Takes over another router's report. */
export const rolloutTold = (
  state: RelayState,
  { from, report, at }: RelayEventOf<"rolloutTold">,
): RelayCommand[] => {
  const rollout = state.rollouts.services.get(report.service);
  if (rollout === undefined || !isKnownRouter(state, from)) return [];
  if (rollout.order.id !== report.orderId) return [];
  const { others } = rollout;
  const known = others.get(report.source);
  const isOlder = known !== undefined && known.report.ageMs > report.ageMs;
  if (!isOlder && (known !== undefined || others.size < maxRollouts.sources))
    others.set(report.source, { report, heardAt: at });
  const ageMs = Math.min(report.ageMs, rollout.order.durationMs);
  rollout.startedAt = Math.min(rollout.startedAt, at - ageMs);
  rollout.writtenFrom = Math.min(rollout.writtenFrom, rollout.startedAt);
  const { fault, phase } = report;
  const learnedFrom = "another router";
  return [
    ...(phase === undefined
      ? []
      : applyPhase(state, rollout, phase, learnedFrom)),
    ...(fault === undefined
      ? []
      : noteFault(state, rollout, fault, learnedFrom)),
  ];
};
