/**
 * Queries some engines before a request is sent to one. Load pattern: each
 * prompt takes an engine about a second of prefill, and many routers send
 * prompts without knowledge of each other's; two prompts at one engine make both
 * late. Drawing a few engines by the prompt's hash and choosing the least
 * loaded of them spreads work almost as well as full knowledge (Mitzenmacher,
 * "The Power of Two Choices in Randomized Load Balancing", 2001).
 */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import { isBackingOff, isOpen } from "./backOff/backOffs.js";
import {
  candidateQueryOf,
  candidateSampleOf,
  rankCandidates,
  rankViews,
} from "./chooseReplica.js";
import {
  loadQueryEngineCount,
  promptQueryEnginesPerZoneCount,
  loadQueryTimeoutMs,
  promptBlocksFreshMs,
  reportFreshMs,
  reconnectWindowMs,
  promptQueryTimeoutMs,
} from "./constants.js";
import { isOpenToExchange } from "./rollout/openVersions.js";
import { hasSoftware, replicasOf } from "./replicaViews.js";
import { hasSeveralVersions } from "./versions/serviceVersions.js";
import {
  originListTimeoutMs,
  originQueryEngineCount,
} from "./versions/constants.js";
import { sampleWithoutReplacement } from "./random.js";
import { VersionSearch } from "./versions/types.js";
import { canCopy } from "./copyHolders.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type {
  Exchange,
  EngineQuery,
  RelayState,
  ReplicaView,
} from "./types.js";

/** The engines that a request's wait asks; undefined if it asks none. */
export const engineQueryOf = ({ wait }: Exchange): EngineQuery | undefined =>
  wait.type === "answers" ? wait.engineQuery : undefined;

/** How the version of a stream that a caller takes up is looked for. */
const versionSearchOf = ({ wait }: Exchange): VersionSearch =>
  wait.type === "answers" ? wait.versionSearch : VersionSearch.None;

/** Makes a request wait for engines, beside the routers that it waits for. */
const awaitEngines = (exchange: Exchange, engineQuery: EngineQuery): void => {
  const { wait } = exchange;
  exchange.wait =
    wait.type === "answers"
      ? { ...wait, engineQuery }
      : {
          type: "answers",
          engineQuery,
          originQuery: undefined,
          versionSearch: VersionSearch.None,
        };
};

const isFresh = (
  state: RelayState,
  { reportReceivedAt }: ReplicaView,
): boolean => state.at - reportReceivedAt < reportFreshMs;

const idsOf = (views: readonly ReplicaView[]): Set<string> =>
  new Set(views.map(({ replica }) => replica.id));

/** Creates a query of the sampled engines, of which the pending ones have not answered yet. */
const createEngineQuery = (
  type: EngineQuery["type"],
  sample: readonly ReplicaView[],
  pending: readonly ReplicaView[],
  until: Timestamp,
): EngineQuery => ({
  type,
  sample: idsOf(sample),
  pending: idsOf(pending),
  until,
});

/** Takes the highest-ranked engines of each group. */
const takePerGroup = (
  ranked: readonly ReplicaView[],
  maxCount: number,
  groupOf: (replica: Replica) => string,
): ReplicaView[] => {
  const taken = new Map<string, number>();
  return ranked.filter(({ replica }) => {
    const group = groupOf(replica);
    const count = (taken.get(group) ?? 0) + 1;
    taken.set(group, count);
    return count <= maxCount;
  });
};

/**
 * Engines that may have begun a stream: of each software version the highest-ranked,
 * also those that leave. A release changes the others that a version is ranked among,
 * so versions are ranked apart.
 */
const possibleOrigins = (
  state: RelayState,
  { service, request }: Exchange,
): ReplicaView[] => {
  const views = replicasOf(state, service).filter(
    ({ leftAt }) => leftAt === undefined,
  );
  const ranked = rankViews(views, request.lastPromptBlockId ?? "");
  return takePerGroup(
    ranked,
    originQueryEngineCount,
    ({ softwareVersion }) => softwareVersion,
  );
};

/** The engines at which a prompt and its copies are placed, the first of each zone. */
const promptEngines = (state: RelayState, exchange: Exchange): ReplicaView[] =>
  takePerGroup(
    rankCandidates(
      state,
      candidateQueryOf(exchange),
      exchange.request.lastPromptBlockId ?? "",
    ),
    promptQueryEnginesPerZoneCount,
    ({ zone }) => zone,
  );

/**
 * Asks engines which prompt blocks they hold. Load pattern: after routers fail,
 * all of their callers reconnect at once to routers without any state of their
 * streams; an engine that still holds the prompt's blocks need not prefill it
 * again.
 */
const queryPromptBlocks = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const isSought = versionSearchOf(exchange) === VersionSearch.Find;
  const sample = (isSought ? possibleOrigins : promptEngines)(state, exchange);
  const pending = sample.filter(
    (view) =>
      state.at - view.promptBlocksReadAt >= promptBlocksFreshMs &&
      !isBackingOff(state, view),
  );
  const timeoutMs = isSought ? originListTimeoutMs : promptQueryTimeoutMs;
  const until = state.at + timeoutMs;
  awaitEngines(
    exchange,
    createEngineQuery("promptBlocks", sample, pending, until),
  );
  return pending.flatMap((view): RelayCommand[] => {
    if (state.at - view.promptBlocksRequestedAt < promptQueryTimeoutMs)
      return [];
    view.promptBlocksRequestedAt = state.at;
    return [
      {
        type: "listPromptBlocks",
        replica: view.replica,
        withHistory: hasSeveralVersions(state, exchange.service),
      },
    ];
  });
};

/** Records the prompt blocks that an engine listed; ignores a missing answer. */
export const recordPromptBlocks = (
  state: RelayState,
  { replica, promptBlocks, at }: RelayEventOf<"promptBlocksListed">,
): void => {
  const view = state.replicas.get(replica);
  if (view === undefined || promptBlocks === undefined) return;
  view.promptBlocks = promptBlocks;
  view.promptBlocksReadAt = at;
};

/** The engine that caches most tokens of the prompt's last block, or undefined. */
export const promptHolderOf = (
  state: RelayState,
  exchange: Exchange,
): Replica | undefined => {
  const { request, softwareVersion } = exchange;
  const engineQuery = engineQueryOf(exchange);
  if (
    engineQuery?.type !== "promptBlocks" ||
    request.lastPromptBlockId === undefined
  )
    return undefined;
  let holder: Replica | undefined;
  let maxTokens = 0;
  for (const id of engineQuery.sample) {
    const view = state.replicas.get(id);
    const tokens = view?.promptBlocks?.get(request.lastPromptBlockId) ?? 0;
    if (view === undefined || tokens <= maxTokens || !isOpen(state, view))
      continue;
    const { replica } = view;
    if (!hasSoftware(replica, softwareVersion)) continue;
    if (!isOpenToExchange(state, replica, exchange)) continue;
    holder = view.replica;
    maxTokens = tokens;
  }
  return holder;
};

// A caller that reconnects before its first event sends no last event id, so it
// cannot be distinguished from a new caller.
const isRecentlyStarted = ({ at, startedAt }: RelayState): boolean =>
  at - startedAt < reconnectWindowMs;

/** Waits for the routers that were asked for a stream whose prompt has no blocks. */
const awaitOrigin = (state: RelayState, exchange: Exchange): RelayCommand[] => {
  const { at } = state;
  awaitEngines(exchange, createEngineQuery("promptBlocks", [], [], at));
  return [];
};

/** Asks the given engines for their load. */
const queryLoadOf = (
  state: RelayState,
  exchange: Exchange,
  sample: readonly ReplicaView[],
): RelayCommand[] => {
  if (sample.length < 2) return [];
  // A question counts against an engine's limit of requests as well.
  const pending = sample.filter(
    (view) => !isFresh(state, view) && view.requestLimit?.perS === undefined,
  );
  const until = state.at + loadQueryTimeoutMs;
  awaitEngines(
    exchange,
    createEngineQuery("loadReports", sample, pending, until),
  );
  return pending.flatMap((view): RelayCommand[] => {
    if (view.probeSentAt !== undefined) return [];
    view.probeSentAt = state.at;
    return [{ type: "probe", replica: view.replica, sentAt: state.at }];
  });
};

/** Asks the first engines for the prompt for their load. */
export const queryLoadReports = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] =>
  queryLoadOf(
    state,
    exchange,
    candidateSampleOf(
      state,
      candidateQueryOf(exchange),
      exchange.request.lastPromptBlockId,
      loadQueryEngineCount,
    ),
  );

/** Asks some of those that are asked for the prompt's blocks if its caller reconnects. */
export const queryFurtherReports = (
  state: RelayState,
  exchange: Exchange,
  engineCount: number,
): RelayCommand[] =>
  queryLoadOf(
    state,
    exchange,
    sampleWithoutReplacement(
      state,
      promptEngines(state, exchange),
      engineCount,
    ),
  );

/** Starts a query of some engines; the request is sent when they have answered. */
export const queryEngines = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { request, attempts } = exchange;
  const isSought = versionSearchOf(exchange) !== VersionSearch.None;
  if (!canCopy(state, exchange) && !isSought) return [];
  const mayBeReconnect =
    request.lastEventId !== undefined || isRecentlyStarted(state);
  if (
    mayBeReconnect &&
    attempts === 0 &&
    request.lastPromptBlockId !== undefined
  )
    return queryPromptBlocks(state, exchange);
  return isSought
    ? awaitOrigin(state, exchange)
    : queryLoadReports(state, exchange);
};

/** Whether all engines and routers that were asked have answered, or too late. */
export const isEngineQueryDone = (
  state: RelayState,
  { wait }: Exchange,
): boolean => {
  if (wait.type !== "answers") return false;
  const { engineQuery, originQuery } = wait;
  return [engineQuery, originQuery ?? engineQuery].every(
    (query) =>
      query !== undefined &&
      (query.pending.size === 0 || state.at >= query.until),
  );
};

/** Whether a request waits for engines or routers that were asked. */
export const isEngineQueryPending = (
  state: RelayState,
  exchange: Exchange,
): boolean =>
  engineQueryOf(exchange) !== undefined && !isEngineQueryDone(state, exchange);
