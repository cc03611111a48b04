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
import { reportContentAgeMs } from "./constants.js";
import { readingMsOf } from "./readingRate.js";
import { sizeOf } from "./requestSize.js";
import type { EngineRoom, RequestSize } from "./types.js";

/** This router's requests in prefill at an engine that its report does not include yet. */
const unreportedRequests = (
  state: RelayState,
  { replica, report, reportReceivedAt }: ReplicaView,
): Exchange[] => {
  const known = new Set(report?.runs.map(({ requestId }) => requestId));
  const includedBefore = reportReceivedAt - reportContentAgeMs;
  return [...state.exchanges.values()].filter(
    ({ attempt, request }) =>
      attempt?.replica.id === replica.id &&
      !attempt.hasEvents &&
      attempt.sentAt >= includedBefore &&
      !known.has(request.requestId),
  );
};

/** This router's requests of which an engine is to hold copies that its report does not include yet: a copy begins with the answer. */
const unreportedCopies = (
  state: RelayState,
  { replica, reportReceivedAt }: ReplicaView,
): Exchange[] =>
  [...state.exchanges.values()].filter(
    ({ attempt }) =>
      attempt?.copyTo?.id === replica.id &&
      (attempt.firstEventAt ?? Infinity) >=
        reportReceivedAt - reportContentAgeMs,
  );

/** Requests that other routers probably send to an engine in a time, if all get as many as this one. */
const othersRequestCount = (
  state: RelayState,
  service: string,
  ms: number,
): number => {
  const budget = state.retryBudgets.get(service);
  const { windowMs } = state.runtimeLimits.retryLimits;
  const windowStart = state.at - windowMs;
  const ownCount =
    budget?.firstAttempts.filter((at) => at >= windowStart).length ?? 0;
  const otherRouterCount = Math.max(0, state.registration.routers.size - 1);
  const engineCount = Math.max(1, replicasOf(state, service).length);
  return ((ownCount * otherRouterCount) / engineCount) * (ms / windowMs);
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

const totalTokensOf = (exchanges: readonly Exchange[]): number =>
  sumOf(exchanges.map(({ request }) => sizeOf(request).totalTokens));

/** Tokens that copies of runs take which the engine's report does not include; copies begin once a prompt is read. */
const copyTokensOf = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
  unreportedMs: number,
): number => {
  const { service } = view.replica;
  if (engineOf(state, service)?.canCopyKvCache !== true) return 0;
  const readingMs = readingMsOf(state, service, size);
  const othersCount = othersRequestCount(
    state,
    service,
    unreportedMs + readingMs,
  );
  const ownTokens = totalTokensOf(unreportedCopies(state, view));
  return ownTokens + othersCount * size.totalTokens;
};

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
  const unreportedMs = state.at - reportReceivedAt + reportContentAgeMs;
  const { service } = replica;
  const othersCount = othersRequestCount(state, service, unreportedMs);
  const tokensTaken =
    kvUsedTokens +
    sumOf(runs.map((run) => growthOf(run, size))) +
    queuedTokens(report, size) +
    totalTokensOf(unreported) +
    othersCount * size.totalTokens +
    copyTokensOf(state, view, size, unreportedMs);
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
