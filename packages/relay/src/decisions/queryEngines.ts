/**
 * Looks at some engines before a prompt is placed. Load pattern: prompts that
 * take an engine a second each, sent by many routers that do not know of each
 * other's; two at one engine make both late. A few engines drawn by the prompt's
 * hash and the best of them chosen spread work almost as well as full knowledge
 * (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
 */

import type { Moment } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import { rankCandidates, candidateSampleOf } from "./chooseReplica.js";
import {
  loadQueryEngineCount,
  promptQueryEnginesPerZoneCount,
  loadQueryTimeoutMs,
  promptBlocksFreshMs,
  reportFreshMs,
  reconnectWindowMs,
  promptQueryTimeoutMs,
} from "./constants.js";
import { isAvailable } from "./replicaViews.js";
import { canCopy } from "./sendAttempt.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type {
  Exchange,
  EngineQuery,
  RelayState,
  ReplicaView,
} from "./types.js";

const isFresh = (
  state: RelayState,
  { reportReceivedAt }: ReplicaView,
): boolean => state.at - reportReceivedAt < reportFreshMs;

const idsOf = (views: readonly ReplicaView[]): Set<string> =>
  new Set(views.map(({ replica }) => replica.id));

/** A look at some engines, of which some have not answered yet. */
const createEngineQuery = (
  type: EngineQuery["type"],
  sample: readonly ReplicaView[],
  pending: readonly ReplicaView[],
  until: Moment,
): EngineQuery => ({
  type,
  sample: idsOf(sample),
  pending: idsOf(pending),
  until,
});

/** The first engines of each zone. */
const takePerZone = (ranked: readonly ReplicaView[]): ReplicaView[] => {
  const taken = new Map<string, number>();
  return ranked.filter(({ replica: { zone } }) => {
    const count = (taken.get(zone) ?? 0) + 1;
    taken.set(zone, count);
    return count <= promptQueryEnginesPerZoneCount;
  });
};

/**
 * Asks engines which parts of prompts they hold. Load pattern: callers that all
 * come back at once, after their routers were lost, to routers that know nothing
 * of their streams; an engine that still holds the prompt need not read it again.
 */
const queryPromptBlocks = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { service, tried, request } = exchange;
  const query = { service, excluded: tried };
  const sample = takePerZone(
    rankCandidates(state, query, request.lastPart ?? ""),
  );
  const pending = sample.filter(
    ({ promptBlocksReadAt }) =>
      state.at - promptBlocksReadAt >= promptBlocksFreshMs,
  );
  const until = state.at + promptQueryTimeoutMs;
  exchange.engineQuery = createEngineQuery(
    "promptBlocks",
    sample,
    pending,
    until,
  );
  return pending.flatMap((view): RelayCommand[] => {
    if (state.at - view.promptBlocksRequestedAt < promptQueryTimeoutMs)
      return [];
    view.promptBlocksRequestedAt = state.at;
    return [{ type: "listPromptBlocks", replica: view.replica }];
  });
};

/** An engine told which parts it holds, or did not answer. */
export const recordPromptBlocks = (
  state: RelayState,
  { replica, promptBlocks, at }: RelayEventOf<"promptBlocksListed">,
): void => {
  const view = state.replicas.get(replica);
  if (view === undefined || promptBlocks === undefined) return;
  view.promptBlocks = promptBlocks;
  view.promptBlocksReadAt = at;
};

/** The engine that holds most of a prompt's own part, or undefined. */
export const promptHolderOf = (
  state: RelayState,
  { engineQuery, request }: Exchange,
): Replica | undefined => {
  if (engineQuery?.type !== "promptBlocks" || request.lastPart === undefined)
    return undefined;
  let best: Replica | undefined;
  let most = 0;
  for (const id of engineQuery.sample) {
    const view = state.replicas.get(id);
    const tokens = view?.promptBlocks?.get(request.lastPart) ?? 0;
    if (view === undefined || tokens <= most || !isAvailable(view)) continue;
    best = view.replica;
    most = tokens;
  }
  return best;
};

// Callers whose first event had not come bring no mark of their earlier try.
const isRecentlyStarted = ({ at, startedAt }: RelayState): boolean =>
  at - startedAt < reconnectWindowMs;

/** Asks some engines for their reports; the request is sent when they have come. */
export const queryEngines = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  if (!canCopy(state, exchange)) return [];
  const { service, tried, request, attempts } = exchange;
  const mayBeReconnect =
    request.lastEventId !== undefined || isRecentlyStarted(state);
  if (mayBeReconnect && attempts === 0 && request.lastPart !== undefined)
    return queryPromptBlocks(state, exchange);
  const query = { service, excluded: tried };
  const sample = candidateSampleOf(
    state,
    query,
    request.lastPart,
    loadQueryEngineCount,
  );
  if (sample.length < 2) return [];
  const pending = sample.filter((view) => !isFresh(state, view));
  const until = state.at + loadQueryTimeoutMs;
  exchange.engineQuery = createEngineQuery(
    "loadReports",
    sample,
    pending,
    until,
  );
  return pending.flatMap((view): RelayCommand[] => {
    if (view.probeSentAt !== undefined) return [];
    view.probeSentAt = state.at;
    return [{ type: "probe", replica: view.replica, sentAt: state.at }];
  });
};

/** Whether a look is over: all reports have come, or its time has passed. */
export const isEngineQueryDone = (
  state: RelayState,
  { engineQuery }: Exchange,
): boolean =>
  engineQuery !== undefined &&
  (engineQuery.pending.size === 0 || state.at >= engineQuery.until);
