/**
 * Finds out which engines ended while requests were about to answer. Broken
 * connections alone prove nothing: an engine that answers a probe afterwards has
 * only reset them.
 */

import type { Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import type { CallerRequest, Replica } from "../../types.js";
import { maxLoggedPromptBlockCount } from "../constants.js";
import { engineOf } from "../engineOf.js";
import { failExchange } from "../endExchange.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { EngineCrashItem } from "../gossip/types.js";
import { logLine } from "../logLine.js";
import { isAvailable, isFromOtherProcess } from "../replicaViews.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { maxEndedEngineCount, maxRemembered } from "./constants.js";
import { renewQuarantines } from "./quarantines.js";
import { forgetExcessCrashes, requestIdentityOf } from "./quarantineState.js";
import type { CrashSuspects, EngineCrash } from "./types.js";

const processOf = ({ id, startedAt }: Replica): string =>
  `${id}@${String(startedAt)}`;

const addSuspect = (
  suspects: CrashSuspects,
  request: string,
  blockIds: readonly string[],
): boolean => {
  if (suspects.has(request) || suspects.size >= maxRemembered.suspectsPerCrash)
    return false;
  suspects.set(request, blockIds);
  return true;
};

/** Blocks of a request under suspicion, those first with which no engine answered well lately. */
const suspectBlocksOf = (
  { quarantine: { succeededAt } }: RelayState,
  { sharedPromptBlockIds }: CallerRequest,
): readonly string[] =>
  [
    ...sharedPromptBlockIds.filter((id) => !succeededAt.has(id)),
    ...sharedPromptBlockIds.filter((id) => succeededAt.has(id)),
  ].slice(0, maxRemembered.blocksPerSuspect);

/** Whether the engine may have ended because of this request. */
const isSuspect = ({ isEstablished }: Attempt): boolean => !isEstablished;

// An engine that leaves or was replaced ends without a cause in its requests.
const mayEndByRequest = (state: RelayState, { id, service }: Replica) => {
  const view = state.replicas.get(id);
  return (
    view !== undefined &&
    isAvailable(view) &&
    engineOf(state, service) !== undefined
  );
};

const probe = (state: RelayState, replica: Replica): RelayCommand => {
  const view = state.replicas.get(replica.id);
  if (view !== undefined) view.probeSentAt = state.at;
  return { type: "probe", replica, sentAt: state.at };
};

/** Notes a broken connection to an engine and asks the engine whether it still runs. */
export const suspectBrokenAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const { replica } = attempt;
  if (!isSuspect(attempt) || !mayEndByRequest(state, replica)) return [];
  const { unconfirmed } = state.quarantine;
  const { request } = exchange;
  const identity = requestIdentityOf(request);
  const blockIds = suspectBlocksOf(state, request);
  const process = processOf(replica);
  const known = unconfirmed.get(process);
  if (known !== undefined) {
    addSuspect(known.suspects, identity, blockIds);
    return [];
  }
  const suspects: CrashSuspects = new Map();
  addSuspect(suspects, identity, blockIds);
  unconfirmed.set(process, { replica, lostAt: state.at, suspects });
  return [probe(state, replica)];
};

/** Tells others of a suspect, and of its blocks that succeeded here before. */
const publishSuspect = (
  state: RelayState,
  { process, at }: EngineCrash,
  request: string,
  blockIds: readonly string[],
): void => {
  if (blockIds.length === 0) return;
  publishItem(state, { type: "engineCrash", process, at, request, blockIds });
  for (const id of blockIds) {
    const succeededAt = state.quarantine.succeededAt.get(id);
    if (succeededAt !== undefined)
      publishItem(state, {
        type: "succeededBlocks",
        at: succeededAt,
        blockIds: [id],
      });
  }
};

/** Ends requests under which so many engines ended that they are not sent again. */
const endCrashingExchanges = (
  state: RelayState,
  suspects: CrashSuspects,
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    if (!suspects.has(requestIdentityOf(exchange.request))) return [];
    exchange.endedEngineCount += 1;
    const { attempt, endedEngineCount } = exchange;
    return endedEngineCount >= maxEndedEngineCount &&
      attempt?.isEstablished !== true
      ? failExchange(state, exchange, "several engines ended under it")
      : [];
  });

/** Adds suspects of an engine's end; what is new here is evidence, and told to others. */
const addCrash = (
  state: RelayState,
  { process, at, suspects }: EngineCrash,
): void => {
  const { quarantine } = state;
  const known = quarantine.crashes.get(process);
  const crash = known ?? { process, at, suspects: new Map() };
  quarantine.crashes.set(process, crash);
  const added = [...suspects].filter(([request, blockIds]) =>
    addSuspect(crash.suspects, request, blockIds),
  );
  if (added.length === 0) return;
  for (const [request, blockIds] of added)
    publishSuspect(state, crash, request, blockIds);
  renewQuarantines(state, crash);
  quarantine.hasNewEvidence = true;
  forgetExcessCrashes(state);
};

/** Remembers the end of an engine, and ends requests under which too many ended. */
const recordCrash = (
  state: RelayState,
  replica: Replica,
  at: Timestamp,
  suspects: CrashSuspects,
): RelayCommand[] => {
  addCrash(state, { process: processOf(replica), at, suspects });
  return [
    logLine(
      "engine ended under prompts",
      {
        replica: replica.id,
        replicaZone: replica.zone,
        requests: suspects.size,
        promptBlocks: [...new Set([...suspects.values()].flat())].slice(
          0,
          maxLoggedPromptBlockCount,
        ),
      },
      Severity.Warn,
    ),
    ...endCrashingExchanges(state, suspects),
  ];
};

/** Notes the end of an engine whose connections are still open here. */
export const recordEndedEngine = (
  state: RelayState,
  replica: Replica,
  lost: readonly { readonly exchange: Exchange; readonly attempt: Attempt }[],
): RelayCommand[] => {
  if (!mayEndByRequest(state, replica)) return [];
  const suspects: CrashSuspects = new Map();
  for (const { exchange, attempt } of lost)
    if (isSuspect(attempt))
      addSuspect(
        suspects,
        requestIdentityOf(exchange.request),
        suspectBlocksOf(state, exchange.request),
      );
  return suspects.size === 0
    ? []
    : recordCrash(state, replica, state.at, suspects);
};

/** Decides by a probe's result whether an engine with broken connections has ended. */
export const confirmCrash = (
  state: RelayState,
  event: RelayEventOf<"probeFinished">,
): RelayCommand[] => {
  const { unconfirmed } = state.quarantine;
  const found = [...unconfirmed].find(
    ([, { replica, lostAt }]) =>
      replica.id === event.replica && event.sentAt >= lostAt,
  );
  if (found === undefined) return [];
  const [process, { replica, lostAt, suspects }] = found;
  unconfirmed.delete(process);
  const hasEnded = event.isAnswered
    ? isFromOtherProcess(replica, event.report)
    : event.isRefused;
  return hasEnded ? recordCrash(state, replica, lostAt, suspects) : [];
};

/** Adds a suspect that another router told. */
export const learnCrash = (
  state: RelayState,
  { process, at, request, blockIds }: EngineCrashItem,
): void => {
  const suspects: CrashSuspects = new Map([[request, blockIds]]);
  addCrash(state, { process, at, suspects });
};

/** All known crashes, as other routers are told of them. */
export const crashItems = ({
  quarantine: { crashes },
}: RelayState): EngineCrashItem[] =>
  [...crashes.values()].flatMap(({ process, at, suspects }) =>
    [...suspects]
      .filter(([, blockIds]) => blockIds.length > 0)
      .map(([request, blockIds]) => ({
        type: "engineCrash" as const,
        process,
        at,
        request,
        blockIds,
      })),
  );
