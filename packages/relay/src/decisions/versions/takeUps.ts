/**
 * Finds the software version at which a caller's stream goes on. Load pattern:
 * callers of lost routers come to others, also after all routers were lost at once.
 */

import type { RelayCommand } from "../commands.js";
import { failExchange } from "../endExchange.js";
import { logLine } from "../logLine.js";
import { replicasOf } from "../replicaViews.js";
import type { Exchange, RelayState } from "../types.js";
import { engineQueryOf } from "../queryEngines.js";
import { hasSeveralVersions, versionsOf } from "./serviceVersions.js";
import { askOrigin, streamKeyOf } from "./streamOrigins.js";

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

/** Begins to look for the version of a stream that a caller takes up. */
export const seekVersion = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  if (!isTakeUp(exchange) || exchange.softwareVersion !== undefined) return [];
  const { service } = exchange;
  exchange.softwareVersion = versionKnownHere(state, exchange);
  if (exchange.softwareVersion !== undefined) return [];
  if (!hasSeveralVersions(state, service)) {
    exchange.softwareVersion = versionsOf(state, service)[0];
    return [];
  }
  const { originQuery, commands } = askOrigin(state, exchange);
  exchange.wait = {
    type: "answers",
    engineQuery: undefined,
    originQuery,
    isVersionSought: true,
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

/** Ends a take-up that no replica can go on with. */
export const refuseTakeUp = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  state.versions.refusedCount += 1;
  return failExchange(state, exchange, reason);
};

/** Whether any registered replica of the service has the version, also one that leaves. */
export const hasVersion = (
  state: RelayState,
  service: string,
  version: string,
): boolean =>
  replicasOf(state, service).some(
    ({ replica, leftAt }) =>
      replica.softwareVersion === version && leftAt === undefined,
  );

/**
 * Settles on a version once routers and engines were asked; returns commands that
 * refuse the take-up if it cannot go on, or the log line.
 */
export const settleVersion = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { wait } = exchange;
  if (wait.type !== "answers" || !wait.isVersionSought) return [];
  const { engineQuery } = wait;
  exchange.wait = {
    ...wait,
    originQuery: undefined,
    isVersionSought: false,
  };
  const told = versionKnownHere(state, exchange);
  const found = versionsWithPrompt(state, exchange);
  const version = told ?? (found.length === 1 ? found[0] : undefined);
  exchange.softwareVersion = version;
  const { request, service } = exchange;
  const line = logLine("software version of a stream sought", {
    requestId: request.requestId,
    resumes: request.resumes,
    softwareVersion: version,
    learnedFrom: told === undefined ? "prompt blocks" : "routers",
    withPrompt: found,
    asked: engineQuery?.sample.size,
    unanswered: engineQuery?.pending.size,
    softwareVersions: versionsOf(state, service),
  });
  return version === undefined
    ? [
        line,
        ...refuseTakeUp(
          state,
          exchange,
          "the software version of the stream is not known",
        ),
      ]
    : [line];
};
