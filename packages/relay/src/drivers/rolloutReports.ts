/**
 * Encodes and decodes the reports of roll-outs: a message of its own, as a router that does
 * not know one of the items of gossip drops them all.
 */

import { pack } from "msgpackr";
import {
  RolloutPhase,
  type RolloutReport,
  type VersionCounts,
} from "../decisions/rollout/types.js";
import { isAmount, isName } from "./peerValues.js";

const maxRouteCount = 12; // keeps the datagram in one packet on every usual link

const newBadOf = ({ newFailed, newSlow }: Readonly<VersionCounts>): number =>
  newFailed + newSlow;

/** Encodes a report; routes beyond a number are left out, those with bad answers last. */
export const encodeRolloutReport = (report: RolloutReport): Uint8Array => {
  const { service, orderId, source, ageMs, phase, fault } = report;
  const routes = [...report.counts]
    .sort(([, a], [, b]) => newBadOf(b) - newBadOf(a))
    .slice(0, maxRouteCount)
    .map(([route, one]) => [
      route,
      one.oldAnswers,
      one.oldFailed,
      one.oldSlow,
      one.newAnswers,
      one.newFailed,
      one.newSlow,
    ]);
  const sums = [report.firstSent, report.exposed, report.oldInFlight];
  const content = [
    service,
    orderId,
    source,
    ageMs,
    phase ?? null,
    fault ?? null,
  ];
  return pack(["rollout", [...content, sums, routes]]);
};

const phases = new Set<unknown>(Object.values(RolloutPhase));

const isPhase = (value: unknown): value is RolloutPhase => phases.has(value);

const isAmountList = (value: unknown, length: number): value is number[] =>
  Array.isArray(value) && value.length === length && value.every(isAmount);

const decodeRoute = (
  value: unknown,
): readonly [string, VersionCounts] | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [route, ...amounts] = value as readonly unknown[];
  if (!isName(route) || !isAmountList(amounts, 6)) return undefined;
  const [oldAnswers = 0, oldFailed = 0, oldSlow = 0, ...ofNew] = amounts;
  const [newAnswers = 0, newFailed = 0, newSlow = 0] = ofNew;
  const old = { oldAnswers, oldFailed, oldSlow };
  return [route, { ...old, newAnswers, newFailed, newSlow }];
};

/** Decodes the content of a report; undefined if any part is malformed. */
export const decodeRolloutReport = (
  content: unknown,
): RolloutReport | undefined => {
  if (!Array.isArray(content)) return undefined;
  const [service, orderId, source, ageMs, phase, fault, sums, routes] =
    content as readonly unknown[];
  if (!isName(service) || !isName(orderId) || !isName(source)) return undefined;
  if (!isAmount(ageMs) || !isAmountList(sums, 3)) return undefined;
  if (phase !== null && !isPhase(phase)) return undefined;
  if (fault !== null && !isName(fault)) return undefined;
  if (!Array.isArray(routes) || routes.length > maxRouteCount) return undefined;
  const counts = routes.map(decodeRoute).filter((one) => one !== undefined);
  if (counts.length !== routes.length) return undefined;
  const [firstSent = 0, exposed = 0, oldInFlight = 0] = sums;
  return {
    service,
    orderId,
    source,
    ageMs,
    firstSent,
    exposed,
    oldInFlight,
    phase: phase ?? undefined,
    fault: fault ?? undefined,
    counts: new Map(counts),
  };
};
