/**
 * Encodes and decodes the reports of roll-outs: a message of its own, as a router that does
 * not know one of the items of gossip drops them all.
 */

import { pack } from "msgpackr";
import type {
  RolloutReport,
  VersionCounts,
} from "../decisions/rollout/types.js";
import { isAmount, isName } from "./peerValues.js";

const maxRouteCount = 12; // keeps the datagram in one packet on every usual link

/** Encodes a report; routes beyond a number are left out, those with bad answers last. */
export const encodeRolloutReport = (report: RolloutReport): Uint8Array => {
  const { service, orderId, source, ageMs, fault } = report;
  const routes = [...report.counts]
    .sort(([, a], [, b]) => b.newBad - a.newBad)
    .slice(0, maxRouteCount)
    .map(([route, { oldAnswers, oldBad, newAnswers, newBad }]) => [
      route,
      oldAnswers,
      oldBad,
      newAnswers,
      newBad,
    ]);
  const sums = [report.firstSent, report.exposed, report.oldInFlight];
  const content = [service, orderId, source, ageMs, fault ?? null];
  return pack(["rollout", [...content, sums, routes]]);
};

const isAmountList = (value: unknown, length: number): value is number[] =>
  Array.isArray(value) && value.length === length && value.every(isAmount);

const decodeRoute = (
  value: unknown,
): readonly [string, VersionCounts] | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [route, ...amounts] = value as readonly unknown[];
  if (!isName(route) || !isAmountList(amounts, 4)) return undefined;
  const [oldAnswers = 0, oldBad = 0, newAnswers = 0, newBad = 0] = amounts;
  return [route, { oldAnswers, oldBad, newAnswers, newBad }];
};

/** Decodes the content of a report; undefined if any part is malformed. */
export const decodeRolloutReport = (
  content: unknown,
): RolloutReport | undefined => {
  if (!Array.isArray(content)) return undefined;
  const [service, orderId, source, ageMs, fault, sums, routes] =
    content as readonly unknown[];
  if (!isName(service) || !isName(orderId) || !isName(source)) return undefined;
  if (!isAmount(ageMs) || !isAmountList(sums, 3)) return undefined;
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
    fault: fault ?? undefined,
    counts: new Map(counts),
  };
};
