/**
 * Finds out which replicas ended while they answered requests. Broken connections
 * alone prove nothing: a replica that accepts a connection afterwards has only
 * reset them.
 */

import { ConnectionOutcome, type Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import type { CallerRequest, Replica } from "../../types.js";
import { isIdBackingOff } from "../backOff/backOffs.js";
import { maxLoggedPromptBlockCount } from "../constants.js";
import { engineOf } from "../engineOf.js";
import { failExchange } from "../endExchange.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { EngineCrashItem } from "../gossip/types.js";
import { isEstablished } from "../fallback/isEstablished.js";
import { logLine } from "../logLine.js";
import { connectionFailed, isPathLost, pathOf } from "../paths/paths.js";
import {
  isAvailable,
  isFromOtherProcess,
  processKeyOf,
  replicasOf,
} from "../replicaViews.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { maxEndedEngineCount, maxRemembered } from "./constants.js";
import {
  causesOf,
  describeCauses,
  isRequestCause,
  requestCauseOf,
} from "./causes.js";
import { renewQuarantines } from "./quarantines.js";
import { forgetExcessCrashes } from "./quarantineState.js";
import type { CrashSuspects, EngineCrash, UnconfirmedCrash } from "./types.js";

/** Whether another replica ended under the request before. */
const isKnownSuspect = (
  { quarantine: { crashes } }: RelayState,
  fingerprint: string,
): boolean =>
  [...crashes.values()].some(({ suspects }) => suspects.has(fingerprint));

const addSuspect = (
  state: RelayState,
  suspects: CrashSuspects,
  fingerprint: string,
  causes: readonly string[],
): boolean => {
  const {
    suspectsPerCrash,
    suspectsPerCrashWithKnown,
    suspectsWithBlocksPerCrash,
  } = maxRemembered;
  const { size } = suspects;
  if (suspects.has(fingerprint) || size >= suspectsPerCrashWithKnown)
    return false;
  if (size >= suspectsPerCrash && !isKnownSuspect(state, fingerprint))
    return false;
  const hasBlocks = size < suspectsWithBlocksPerCrash;
  suspects.set(fingerprint, hasBlocks ? causes : causes.filter(isRequestCause));
  return true;
};

/**
 * Possible causes in a request; of its blocks those first with which no engine
 * answered well lately. An established answer clears the blocks, not the request.
 */
const suspectedCausesOf = (
  { quarantine: { succeededAt } }: RelayState,
  request: CallerRequest,
  { isEstablished }: Attempt,
): readonly string[] => {
  if (isEstablished) return [requestCauseOf(request)];
  const causes = causesOf(request);
  return [
    ...causes.filter((id) => !succeededAt.has(id)),
    ...causes.filter((id) => succeededAt.has(id)),
  ].slice(0, maxRemembered.blocksPerSuspect);
};

// A replica that leaves or was replaced ends without a cause in its requests.
const mayEndByRequest = (state: RelayState, { id }: Replica): boolean => {
  const view = state.replicas.get(id);
  return view !== undefined && isAvailable(view);
};

/** Whether a replica is asked for its report: one that is no engine has none, and one that backs off wants no requests. */
const hasReport = (state: RelayState, { id, service }: Replica): boolean =>
  engineOf(state, service) !== undefined && !isIdBackingOff(state, id);

/** Asks an engine for its report, and any other replica only for a connection: each request takes one of its slots. */
const probe = (
  state: RelayState,
  { replica, isReportAwaited }: UnconfirmedCrash,
): RelayCommand => {
  const sentAt = state.at;
  if (!isReportAwaited) return { type: "probeConnection", replica, sentAt };
  const view = state.replicas.get(replica.id);
  if (view !== undefined) view.probeSentAt = sentAt;
  return { type: "probe", replica, sentAt };
};

/** Notes a broken connection to a replica and asks it whether it still runs. */
export const suspectBrokenAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const { replica, isEstablished } = attempt;
  if (!mayEndByRequest(state, replica)) return [];
  const { unconfirmed } = state.quarantine;
  const { request } = exchange;
  const process = processKeyOf(replica);
  const known = unconfirmed.get(process);
  const crash: UnconfirmedCrash = known ?? {
    replica,
    lostAt: state.at,
    suspects: new Map(),
    unestablished: new Set(),
    isReportAwaited: hasReport(state, replica),
    isRefused: false,
  };
  unconfirmed.set(process, crash);
  const causes = suspectedCausesOf(state, request, attempt);
  addSuspect(state, crash.suspects, request.fingerprint, causes);
  if (!isEstablished) crash.unestablished.add(request.fingerprint);
  return known === undefined ? [probe(state, crash)] : [];
};

/** Tells others of a suspect, and of its blocks that succeeded here before. */
const publishSuspect = (
  state: RelayState,
  { process, at }: EngineCrash,
  request: string,
  blockIds: readonly string[],
): void => {
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

/** Ends requests under which so many replicas ended that they are not sent again. */
const endCrashingExchanges = (
  state: RelayState,
  unestablished: ReadonlySet<string>,
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    if (!unestablished.has(exchange.request.fingerprint)) return [];
    exchange.endedEngineCount += 1;
    return exchange.endedEngineCount >= maxEndedEngineCount &&
      !isEstablished(exchange)
      ? failExchange(state, exchange, "several replicas ended under it")
      : [];
  });

/** Adds suspects of a replica's end; what is new here is evidence, and told to others. */
const addCrash = (
  state: RelayState,
  { process, at, suspects }: EngineCrash,
): void => {
  const { quarantine } = state;
  const known = quarantine.crashes.get(process);
  const crash = known ?? { process, at, suspects: new Map() };
  quarantine.crashes.set(process, crash);
  const added = [...suspects].filter(([request, blockIds]) =>
    addSuspect(state, crash.suspects, request, blockIds),
  );
  if (added.length === 0) return;
  for (const [request, blockIds] of added)
    publishSuspect(state, crash, request, blockIds);
  renewQuarantines(state, crash);
  quarantine.hasNewEvidence = true;
  forgetExcessCrashes(state);
};

/** Log command for a replica's end. */
const crashLogLine = (
  { id, service, zone }: Replica,
  suspects: CrashSuspects,
): RelayCommand => {
  const causes = [...new Set([...suspects.values()].flat())];
  const { promptBlocks, fingerprints } = describeCauses(causes);
  return logLine(
    "replica ended under requests",
    {
      replica: id,
      service,
      replicaZone: zone,
      requests: suspects.size,
      promptBlocks: promptBlocks?.slice(0, maxLoggedPromptBlockCount),
      fingerprints: fingerprints?.slice(0, maxLoggedPromptBlockCount),
    },
    Severity.Warn,
  );
};

/** Remembers the end of a replica, and ends requests under which too many ended. */
const recordCrash = (
  state: RelayState,
  { replica, lostAt: at, suspects, unestablished }: UnconfirmedCrash,
): RelayCommand[] => {
  addCrash(state, { process: processKeyOf(replica), at, suspects });
  return [
    crashLogLine(replica, suspects),
    ...endCrashingExchanges(state, unestablished),
  ];
};

/** Whether refused connections to a replica are its own: another one was connected to since, or there is no other. */
const isPathProven = (
  state: RelayState,
  { replica: { id, service }, lostAt }: UnconfirmedCrash,
): boolean =>
  pathOf(state, service).connectedAt >= lostAt ||
  !replicasOf(state, service).some(({ replica }) => replica.id !== id);

/** Takes a refused replica for ended if the path to the others is open; until that is known, it is unconfirmed. */
const settleRefused = (
  state: RelayState,
  crash: UnconfirmedCrash,
): RelayCommand[] => {
  const { unconfirmed } = state.quarantine;
  const process = processKeyOf(crash.replica);
  if (isPathProven(state, crash)) {
    unconfirmed.delete(process);
    return recordCrash(state, crash);
  }
  if (isPathLost(state, crash.replica.service)) unconfirmed.delete(process);
  return [];
};

/** Notes that the address of a replica refused a connection. */
const noteRefused = (
  state: RelayState,
  crash: UnconfirmedCrash,
): RelayCommand[] => {
  crash.isRefused = true;
  state.quarantine.unconfirmed.set(processKeyOf(crash.replica), crash);
  return [
    ...settleRefused(state, crash),
    ...connectionFailed(state, crash.replica, crash.lostAt),
  ];
};

/** Settles refused replicas once the path to their service is known. */
export const settleRefusedReplicas = (state: RelayState): RelayCommand[] =>
  [...state.quarantine.unconfirmed.values()].flatMap((crash) =>
    crash.isRefused ? settleRefused(state, crash) : [],
  );

/** Notes the end of an engine whose connections are still open here. */
export const recordEndedEngine = (
  state: RelayState,
  replica: Replica,
  lostAt: Timestamp,
  lost: readonly { readonly exchange: Exchange; readonly attempt: Attempt }[],
): RelayCommand[] => {
  if (!mayEndByRequest(state, replica)) return [];
  const suspects: CrashSuspects = new Map();
  const unestablished = new Set<string>();
  for (const { exchange, attempt } of lost) {
    const { request } = exchange;
    const causes = suspectedCausesOf(state, request, attempt);
    addSuspect(state, suspects, request.fingerprint, causes);
    if (!attempt.isEstablished) unestablished.add(request.fingerprint);
  }
  if (suspects.size === 0) return [];
  const crash = {
    replica,
    lostAt,
    suspects,
    unestablished,
    isReportAwaited: hasReport(state, replica),
    isRefused: true,
  };
  return noteRefused(state, crash);
};

/** The crash that a probe was sent for. */
const unconfirmedCrashOf = (
  { quarantine: { unconfirmed } }: RelayState,
  {
    replica: id,
    sentAt,
  }: Pick<RelayEventOf<"probeFinished">, "replica" | "sentAt">,
): UnconfirmedCrash | undefined =>
  [...unconfirmed.values()].find(
    ({ replica, lostAt }) => replica.id === id && sentAt >= lostAt,
  );

const forgetUnconfirmed = (
  { quarantine }: RelayState,
  { replica }: UnconfirmedCrash,
): void => {
  quarantine.unconfirmed.delete(processKeyOf(replica));
};

/** Decides by a probe's result whether an engine with broken connections has ended. */
export const confirmCrash = (
  state: RelayState,
  event: RelayEventOf<"probeFinished">,
): RelayCommand[] => {
  const crash = unconfirmedCrashOf(state, event);
  if (crash === undefined) return [];
  if (event.isRefused) return noteRefused(state, crash);
  forgetUnconfirmed(state, crash);
  const hasEnded =
    event.isAnswered && isFromOtherProcess(crash.replica, event.report);
  return hasEnded ? recordCrash(state, crash) : [];
};

/** Decides by a connection's result whether a replica has ended that was not asked for a report. */
export const confirmPlainCrash = (
  state: RelayState,
  event: RelayEventOf<"connectionProbed">,
): RelayCommand[] => {
  const crash = unconfirmedCrashOf(state, event);
  if (crash === undefined) return [];
  // Another process may listen at an engine's address; its report tells.
  if (crash.isReportAwaited) return [];
  if (event.outcome === ConnectionOutcome.Refused)
    return noteRefused(state, crash);
  forgetUnconfirmed(state, crash);
  return [];
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
    [...suspects].map(([request, blockIds]) => ({
      type: "engineCrash" as const,
      process,
      at,
      request,
      blockIds,
    })),
  );
