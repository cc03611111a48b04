/**
 * The room at an engine: its latest report, corrected for what was sent there since. Load
 * pattern: many routers fill engines whose memory holds fewer requests than they have
 * slots; a run that finds no memory displaces another one, whose prompt is read again.
 */

import { engineOf } from "../engineOf.js";
import { reportMaxAgeMs } from "../constants.js";
import { replicasOf } from "../replicaViews.js";
import type { EngineReport, ReportedRun } from "../../types.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import { reportLagMs } from "./constants.js";
import { sizeOf } from "./requestSize.js";
import type { EngineRoom, RequestSize } from "./types.js";

/** This router's requests in prefill at an engine that its report does not include yet. */
const unreportedRequests = (
  state: RelayState,
  { replica, report, reportReceivedAt }: ReplicaView,
): Exchange[] => {
  const known = new Set(report?.runs.map(({ requestId }) => requestId));
  const includedBefore = reportReceivedAt - reportLagMs;
  return [...state.exchanges.values()].filter(
    ({ attempt, request }) =>
      attempt?.replica.id === replica.id &&
      !attempt.hasEvents &&
      attempt.sentAt >= includedBefore &&
      !known.has(request.requestId),
  );
};

/**
 * Requests that other routers probably sent to an engine since it made its report, if all
 * get as many as this one.
 */
const othersRequestCount = (
  state: RelayState,
  { replica, reportReceivedAt }: ReplicaView,
): number => {
  const { service } = replica;
  const budget = state.retryBudgets.get(service);
  const { windowMs } = state.runtimeLimits.retryLimits;
  const windowStart = state.at - windowMs;
  const ownCount =
    budget?.firstAttempts.filter((at) => at >= windowStart).length ?? 0;
  const otherRouterCount = Math.max(0, state.registration.routers.size - 1);
  const engineCount = Math.max(1, replicasOf(state, service).length);
  const ageMs = state.at - reportReceivedAt + reportLagMs;
  return ((ownCount * otherRouterCount) / engineCount) * (ageMs / windowMs);
};

/** Tokens by which a run may still grow, if it is like the given request. */
const growthOf = (
  { kvTokens, generatedEventCount }: ReportedRun,
  { promptTokens, totalTokens }: RequestSize,
): number => {
  if (kvTokens === undefined) return 0;
  const left = Math.max(0, totalTokens - kvTokens);
  return generatedEventCount === 0
    ? left
    : Math.min(left, totalTokens - promptTokens);
};

const queuedTokens = (
  { queued, nextTokens }: EngineReport,
  { totalTokens }: RequestSize,
): number =>
  queued === 0 ? 0 : (nextTokens ?? totalTokens) + (queued - 1) * totalTokens;

const sumOf = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0);

/** The room for requests of a size; undefined without a recent report. */
export const roomOf = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
  maxAgeMs = reportMaxAgeMs,
): EngineRoom | undefined => {
  const { report, reportReceivedAt, replica } = view;
  if (report === undefined || state.at - reportReceivedAt > maxAgeMs)
    return undefined;
  const { active, queued, runs, kvUsedTokens, kvTotalTokens } = report;
  const decoding = runs.filter((run) => run.generatedEventCount > 0).length;
  const unreported = unreportedRequests(state, view);
  const othersCount = othersRequestCount(state, view);
  // The copy of each request takes memory at another engine.
  const isCopied = engineOf(state, replica.service)?.canCopyKvCache === true;
  const tokensTaken =
    kvUsedTokens +
    sumOf(runs.map((run) => growthOf(run, size))) +
    queuedTokens(report, size) +
    sumOf(unreported.map(({ request }) => sizeOf(request).totalTokens)) +
    othersCount * size.totalTokens * (isCopied ? 2 : 1);
  return {
    freeSlots:
      replica.slots - active - queued - unreported.length - othersCount,
    freeTokens: kvTotalTokens === 0 ? Infinity : kvTotalTokens - tokensTaken,
    prefilling: Math.max(0, active - decoding) + queued + unreported.length,
    decoding,
  };
};

/** Number of requests of a size, of those that are to find a place, that find none. */
export const missingPlaces = (
  { freeSlots, freeTokens }: EngineRoom,
  { totalTokens }: RequestSize,
  requestCount = 1,
): number => {
  const tokenPlaces = freeTokens / Math.max(1, totalTokens);
  return Math.max(0, requestCount - Math.min(freeSlots, tokenPlaces));
};

/** Whether an engine reads no prompt, as far as this router knows. */
export const isIdleInPrefill = (
  state: RelayState,
  view: ReplicaView,
): boolean => roomOf(state, view, sizeOf(undefined))?.prefilling === 0;
