/**
 * Finds the software version at which a caller's stream goes on. Load pattern:
 * callers of lost routers come to others, also after all routers were lost at once.
 */

import type { RelayCommand } from "../commands.js";
import { endSearch } from "../fallback/endSearch.js";
import { logLine } from "../logLine.js";
import { hasSoftware, replicasOf } from "../replicaViews.js";
import type { Exchange, Questions, RelayState } from "../types.js";
import { currentStoreAgeMs } from "./constants.js";
import { engineQueryOf, queryEngines } from "../queryEngines.js";
import { hasSeveralVersions, versionsOf } from "./serviceVersions.js";
import { askOrigin, streamKeyOf } from "./streamOrigins.js";
import { VersionSearch, type OriginQuery } from "./types.js";

/** What became of the search for a stream's version. */
export interface SettledVersion {
  /** Whether the request can be sent now. */
  readonly isSettled: boolean;
  readonly commands: RelayCommand[];
}

/** Whether a caller takes up a stream of which it has events. */
export const isTakeUp = ({ request, route }: Exchange): boolean =>
  route.canResume && (request.lastEventId ?? 0) > 0;

const versionKnownHere = (
  { versions: { origins } }: RelayState,
  exchange: Exchange,
): string | undefined => {
  const key = streamKeyOf(exchange);
  return key === undefined ? undefined : origins.get(key)?.version;
};

/**
 * Begins to look for the version of a stream that a caller takes up. A service's only known
 * version is confirmed by other routers: this one may have stood still, been cut off, or
 * just started, while replicas of another version joined and began streams.
 */
export const seekVersion = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  if (!isTakeUp(exchange) || exchange.softwareVersion !== undefined) return [];
  const { service } = exchange;
  exchange.softwareVersion = versionKnownHere(state, exchange);
  if (exchange.softwareVersion !== undefined) return [];
  const isSingle = !hasSeveralVersions(state, service);
  const { originQuery, commands } = askOrigin(state, exchange);
  if (isSingle && originQuery === undefined) {
    exchange.softwareVersion = versionsOf(state, service)[0];
    return [];
  }
  const versionSearch = isSingle ? VersionSearch.Confirm : VersionSearch.Find;
  exchange.wait = {
    type: "answers",
    engineQuery: undefined,
    originQuery,
    versionSearch,
  };
  return commands;
};

/** Versions of the engines that hold or held the last block of the prompt: one of them began the stream. */
const versionsWithPrompt = (
  state: RelayState,
  exchange: Exchange,
): string[] => {
  const engineQuery = engineQueryOf(exchange);
  const blockId = exchange.request.lastPromptBlockId;
  if (engineQuery?.type !== "promptBlocks" || blockId === undefined) return [];
  const holders = [...engineQuery.sample]
    .map((id) => state.replicas.get(id))
    .filter((view) => view !== undefined)
    .filter(({ promptBlocks }) => promptBlocks?.has(blockId) === true);
  return [...new Set(holders.map(({ replica }) => replica.softwareVersion))];
};

const onlyOne = (versions: readonly string[]): string | undefined =>
  versions.length === 1 ? versions[0] : undefined;

/** Ends a take-up that no replica can go on with. */
export const refuseTakeUp = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  state.versions.refusedCount += 1;
  return endSearch(state, exchange, reason);
};

/** Whether any registered replica of the service has the version, also one that leaves. */
export const hasVersion = (
  state: RelayState,
  service: string,
  version: string,
): boolean =>
  replicasOf(state, service).some(
    ({ replica, leftAt }) =>
      hasSoftware(replica, version) && leftAt === undefined,
  );

/** Whether the store was heard of lately: a version that it shows is in its list. */
const isStoreCurrent = ({ store, storeHeardAt, at }: RelayState): boolean =>
  store.type === "available" && at - storeHeardAt < currentStoreAgeMs;

/** The service's only known version, if others or the store let it stand, or its engines read the prompt. */
const confirmedVersion = (
  state: RelayState,
  { service }: Exchange,
  originQuery: OriginQuery | undefined,
  found: readonly string[],
): string | undefined => {
  const [known] = versionsOf(state, service);
  const hasAnswer =
    originQuery === undefined ||
    originQuery.pending.size < originQuery.askedCount;
  const isConfirmed = hasAnswer || isStoreCurrent(state) || found[0] === known;
  return isConfirmed ? known : undefined;
};

const settleLogLine = (
  state: RelayState,
  exchange: Exchange,
  { engineQuery }: Questions,
  told: string | undefined,
  withPrompt: readonly string[],
): RelayCommand =>
  logLine("software version of a stream sought", {
    requestId: exchange.request.requestId,
    resumes: exchange.request.resumes,
    softwareVersion: exchange.softwareVersion,
    learnedFrom: told === undefined ? "prompt blocks" : "routers",
    withPrompt,
    asked: engineQuery?.sample.size,
    unanswered: engineQuery?.pending.size,
    softwareVersions: versionsOf(state, exchange.service),
  });

const refuseUnknown = (state: RelayState, exchange: Exchange): RelayCommand[] =>
  refuseTakeUp(
    state,
    exchange,
    "the software version of the stream is not known",
  );

/** Asks engines as well, after other routers told that the service has several versions. */
const findVersion = (state: RelayState, exchange: Exchange): RelayCommand[] => {
  exchange.wait = {
    type: "answers",
    engineQuery: undefined,
    originQuery: undefined,
    versionSearch: VersionSearch.Find,
  };
  return queryEngines(state, exchange);
};

/**
 * Settles on a version once routers and engines were asked. The commands refuse the
 * take-up if it cannot go on, or ask further; `isSettled` is false then.
 */
export const settleVersion = (
  state: RelayState,
  exchange: Exchange,
): SettledVersion => {
  const { wait } = exchange;
  if (wait.type !== "answers" || wait.versionSearch === VersionSearch.None)
    return { isSettled: true, commands: [] };
  const { versionSearch, originQuery } = wait;
  const told = versionKnownHere(state, exchange);
  const isSingle = !hasSeveralVersions(state, exchange.service);
  if (
    versionSearch === VersionSearch.Confirm &&
    told === undefined &&
    !isSingle
  )
    return { isSettled: false, commands: findVersion(state, exchange) };
  const found = versionsWithPrompt(state, exchange);
  exchange.wait = {
    ...wait,
    originQuery: undefined,
    versionSearch: VersionSearch.None,
  };
  const concluded =
    versionSearch === VersionSearch.Confirm
      ? confirmedVersion(state, exchange, originQuery, found)
      : onlyOne(found);
  exchange.softwareVersion = told ?? concluded;
  const isKnown = exchange.softwareVersion !== undefined;
  // The usual case, in which nothing was in doubt, has no line.
  const isLogged =
    versionSearch === VersionSearch.Find || told !== undefined || !isKnown;
  const lines = isLogged
    ? [settleLogLine(state, exchange, wait, told, found)]
    : [];
  return isKnown
    ? { isSettled: true, commands: lines }
    : {
        isSettled: false,
        commands: [...lines, ...refuseUnknown(state, exchange)],
      };
};
