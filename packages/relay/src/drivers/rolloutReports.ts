/**
 * Encodes and decodes the reports of roll-outs: a message of its own, as a router that does
 * not know one of the items of gossip drops them all.
 */

import { pack } from "msgpackr";
import {
  isRolloutPhase,
  type RolloutReport,
  type VersionCounts,
} from "../decisions/rollout/types.js";
import { isAmount, isName, maxDatagramBytes } from "./peerValues.js";

const maxRouteCount = 12; // of those that others send

const newBadOf = ({ newFailed, newSlow }: Readonly<VersionCounts>): number =>
  newFailed + newSlow;

type RouteCounts = readonly [route: string, counts: Readonly<VersionCounts>];

/** Routes with bad answers of the new version first, then those with most of its answers. */
const byWeight = ([, a]: RouteCounts, [, b]: RouteCounts): number =>
  newBadOf(b) - newBadOf(a) ||
  b.newAnswers - a.newAnswers ||
  b.oldAnswers - a.oldAnswers;

const encodeRoute = ([route, one]: RouteCounts): readonly unknown[] => [
  route,
  one.oldAnswers,
  one.oldFailed,
  one.oldSlow,
  one.newAnswers,
  one.newFailed,
  one.newSlow,
];

/** Encodes the routes that fit beside the rest of a report. */
const packRoutes = (
  content: readonly unknown[],
  counts: RolloutReport["counts"],
): Uint8Array => {
  const routes: (readonly unknown[])[] = [];
  const packAll = () => pack(["rollout", [...content, routes]]);
  let datagram = packAll();
  for (const one of [...counts].sort(byWeight).slice(0, maxRouteCount)) {
    routes.push(encodeRoute(one));
    const larger = packAll();
    if (larger.length > maxDatagramBytes) routes.pop();
    else datagram = larger;
  }
  return datagram;
};

/**
 * Encodes a report; routes that do not fit one datagram are left out, those with bad
 * answers last, and the text of a fault is if there is no room for it. Undefined if
 * the names alone are too long.
 */
export const encodeRolloutReport = (
  report: RolloutReport,
): Uint8Array | undefined => {
  const { service, orderId, source, ageMs, phase, fault } = report;
  const sums = [report.firstSent, report.exposed, report.oldInFlight];
  const contentWith = (text: string | undefined) => [
    ...[service, orderId, source, ageMs, phase ?? null, text ?? null],
    sums,
  ];
  const faults = fault === undefined ? [undefined] : [fault, unnamedFault];
  return faults
    .map((text) => packRoutes(contentWith(text), report.counts))
    .find(({ length }) => length <= maxDatagramBytes);
};

const unnamedFault = "bad answers"; // names no route

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
  if (phase !== null && !isRolloutPhase(phase)) return undefined;
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
