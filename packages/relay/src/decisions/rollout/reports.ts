/**
 * Tells some routers this one's counts, and all of them that a version is bad. Load
 * pattern: each of many routers sends the new version a request now and then, too few to
 * judge it alone, while the store or links are down.
 */

import { rendezvousOrder } from "@cardamomglade/common";
import type { Address } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { sampleWithoutReplacement } from "../random.js";
import { otherRouterAddresses } from "../registration.js";
import type { RelayState } from "../types.js";
import {
  judgeCount,
  maxReportsPerS,
  minReportIntervalMs,
  newsFanout,
  phaseToldMs,
  otherReportFreshMs,
} from "./constants.js";
import { isFinal, isNewVersion } from "./rolloutState.js";
import type { Rollout, RolloutReport } from "./types.js";

/** This router's requests at work at old replicas. */
const oldInFlightOf = (state: RelayState, rollout: Rollout): number => {
  let count = 0;
  for (const { service, attempt } of state.exchanges.values())
    if (
      attempt !== undefined &&
      service === rollout.order.service &&
      !isNewVersion(rollout, attempt.replica.softwareVersion)
    )
      count += 1;
  return count;
};

const reportOf = (state: RelayState, rollout: Rollout): RolloutReport => ({
  service: rollout.order.service,
  orderId: rollout.order.id,
  source: `${state.router}@${String(Math.round(state.startedAt))}`,
  ageMs: state.at - rollout.startedAt,
  firstSent: rollout.firstSent,
  exposed: rollout.exposed,
  oldInFlight: oldInFlightOf(state, rollout),
  phase: rollout.phase,
  fault: rollout.fault,
  counts: rollout.own,
});

/** Requests that known routers have sent to the service since the order. */
export const knownFirstSent = (rollout: Rollout): number => {
  let count = rollout.firstSent;
  for (const { report } of rollout.others.values()) count += report.firstSent;
  return count;
};

/** The latest reports of the routers that were heard of lately. */
export const freshReports = (
  { at }: RelayState,
  { others }: Rollout,
): RolloutReport[] =>
  [...others.values()]
    .filter(({ heardAt }) => at - heardAt < otherReportFreshMs)
    .map(({ report }) => report);

/** Whether this router gets the counts of most of the registered ones. */
export const knowsMostRouters = (
  state: RelayState,
  rollout: Rollout,
): boolean => {
  const freshCount = freshReports(state, rollout).length;
  return 2 * (freshCount + 1) > state.registration.routers.size;
};

/** Whether any router is known to have work at old replicas. */
export const hasOldWork = (state: RelayState, rollout: Rollout): boolean =>
  oldInFlightOf(state, rollout) > 0 ||
  freshReports(state, rollout).some(({ oldInFlight }) => oldInFlight > 0);

/** The first routers in the service's order that this one reaches. */
const judgesOf = (
  { registration, router }: RelayState,
  service: string,
): Address[] =>
  rendezvousOrder(service, [...registration.routers.keys()])
    .filter((name) => name !== router)
    .slice(0, judgeCount)
    .map((name) => registration.routers.get(name)?.address)
    .filter((address) => address !== undefined);

/** Sends this router's report when due. */
export const sendReport = (
  state: RelayState,
  rollout: Rollout,
): RelayCommand[] => {
  const { at, registration } = state;
  const { fault, faultToldUntil, phase, phaseAt, order } = rollout;
  const hasNews =
    (fault !== undefined && at < faultToldUntil) ||
    (phase !== undefined && at - phaseAt < phaseToldMs);
  if (at < rollout.nextReportAt) return [];
  if (isFinal(phase) && !hasNews) return [];
  const intervalMs = Math.max(
    minReportIntervalMs,
    (1000 * registration.routers.size) / maxReportsPerS,
  );
  rollout.nextReportAt = at + intervalMs;
  const report = reportOf(state, rollout);
  const told = hasNews
    ? sampleWithoutReplacement(state, otherRouterAddresses(state), newsFanout)
    : [];
  return [...judgesOf(state, order.service), ...told].map((to) => ({
    type: "tellRollout",
    to,
    report,
  }));
};
