/** Puts prompt blocks and requests into quarantine, renews, narrows and ends it. */

import { Severity } from "@cardamomglade/observe";
import type { Timestamp } from "@cardamomglade/common";
import { publishItem } from "../gossip/spreadGossip.js";
import type { QuarantineItem } from "../gossip/types.js";
import { cancelExchange, failExchange, summaryOf } from "../endExchange.js";
import { isEstablished } from "../fallback/isEstablished.js";
import { logLine } from "../logLine.js";
import { refuse } from "../refusals.js";
import { drawReturnBehindMs } from "../returnTimes/drawReturn.js";
import { serviceUnavailableStatus } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";
import { causesOf, describeCauses, isRequestCause } from "./causes.js";
import {
  releaseEntryTtlMs,
  storeWriteRetryMs,
  storeWriteSpacingMs,
} from "./constants.js";
import { hasAllBlocks } from "./findCulprits.js";
import { rankOf } from "../registration.js";
import { holdMsOf, quarantineKeyOf, quarantinesOf } from "./quarantineState.js";
import type { EngineCrash, Quarantine, ReleasedQuarantine } from "./types.js";

const heldReasonOf = ({ blockIds }: Quarantine): string =>
  blockIds.some(isRequestCause)
    ? "replicas ended under this request"
    : "engines ended under prompts with these blocks";

/** What is held, as log messages name it. */
const subjectOf = ({ blockIds }: Quarantine): string =>
  blockIds.some(isRequestCause) ? "request" : "prompt blocks";

/** A quarantine as other routers are told of it. */
export const itemOf = ({
  blockIds,
  crashedAt,
  heldUntil,
  holdCount,
  crashCount,
  source,
}: Quarantine): QuarantineItem => ({
  type: "quarantine",
  blockIds,
  crashedAt,
  heldUntil,
  holdCount,
  crashCount,
  source,
});

/** All quarantines, as other routers are told of them. */
export const quarantineItems = ({
  quarantine: { inForce },
}: RelayState): QuarantineItem[] => [...inForce.values()].map(itemOf);

const contextOf = (
  state: RelayState,
  { blockIds, crashedAt, learnedAt, source, holdCount, crashCount }: Quarantine,
) => ({
  ...describeCauses(blockIds),
  crashes: crashCount,
  lastCrashMsAgo: Math.round(state.at - crashedAt),
  holdCount,
  learnedFrom: source,
  learnedMsAgo: Math.round(state.at - learnedAt),
});

/** Ends a request that is held by a quarantine: at once, and as not executed where that is so. */
export const endHeldExchange = (
  state: RelayState,
  exchange: Exchange,
  held: Quarantine,
): RelayCommand[] => {
  state.quarantine.refusedCount += 1;
  const { key, request, head, mayHaveExecuted } = exchange;
  const context = {
    ...summaryOf(exchange, state.at),
    ...contextOf(state, held),
  };
  const reason = heldReasonOf(held);
  if (mayHaveExecuted || head !== undefined)
    return [
      logLine("request held back", context),
      ...failExchange(state, exchange, reason),
    ];
  const { requestId } = request;
  const heldMs = Math.max(0, held.heldUntil - state.at);
  return [
    ...cancelExchange(state, exchange),
    ...refuse(
      { key, requestId, reason, context },
      serviceUnavailableStatus,
      drawReturnBehindMs(state, exchange, heldMs),
    ),
  ];
};

/** The first quarantine that holds a request back, or undefined. */
export const heldBy = (
  state: RelayState,
  { request }: Pick<Exchange, "request">,
): Quarantine | undefined => quarantinesOf(state, request)[0];

/**
 * Ends requests that wait for a replica or for its first events, before it ends too. A
 * router that took a request over knows whether it waits, and ends it there.
 */
const endHeldExchanges = (
  state: RelayState,
  quarantine: Quarantine,
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    const { request, wait } = exchange;
    const isHeld =
      !isEstablished(exchange) &&
      wait.type !== "router" &&
      quarantine.trialKey !== exchange.key &&
      hasAllBlocks(causesOf(request), quarantine.blockIds);
    return isHeld ? endHeldExchange(state, exchange, quarantine) : [];
  });

/** Command that writes to the store that a quarantine ended. */
export const storeRelease = (
  { at }: RelayState,
  key: string,
  stored: ReleasedQuarantine,
): RelayCommand => ({
  type: "storeQuarantine",
  key,
  stored,
  until: at + releaseEntryTtlMs,
});

/** Ends a quarantine here, and in the store if this router decided it. */
export const removeQuarantine = (
  state: RelayState,
  { key, blockIds }: Quarantine,
  succeededBlockIds: readonly string[],
  isOwnDecision: boolean,
): RelayCommand[] => {
  const { quarantine, at } = state;
  const entry = { type: "released" as const, blockIds, succeededBlockIds };
  const nextWriteAt = isOwnDecision ? at + storeWriteRetryMs : Infinity;
  quarantine.inForce.delete(key);
  quarantine.releases.set(key, { at, entry, nextWriteAt });
  return isOwnDecision ? [storeRelease(state, key, entry)] : [];
};

/** Whether this router changes the store's entry where all routers come to the same decision. */
export const isResponsible = (
  state: RelayState,
  { key, source }: Pick<Quarantine, "key" | "source">,
): boolean => source === state.router || rankOf(state, key) === 0;

/** Causes, and the blocks of a request among them as far as its crashes are remembered. */
const knownCausesOf = (
  { quarantine: { crashes } }: RelayState,
  ids: readonly string[],
): readonly string[] => {
  if (!ids.some(isRequestCause)) return ids;
  const requests = [...crashes.values()].flatMap(({ suspects }) => [
    ...suspects.values(),
  ]);
  const own = requests.filter((causes) => hasAllBlocks(causes, ids));
  return own.length === 0 ? ids : own.flat();
};

/** Puts causes into quarantine; sets that it contains are redundant. */
export const addQuarantine = (
  state: RelayState,
  item: QuarantineItem,
  isOwnDecision: boolean,
): RelayCommand[] => {
  const { at, quarantine } = state;
  const { blockIds, crashedAt, heldUntil, holdCount, crashCount, source } =
    item;
  const key = quarantineKeyOf(blockIds);
  const added: Quarantine = {
    key,
    blockIds,
    crashedAt,
    heldUntil,
    holdCount,
    crashCount,
    learnedAt: at,
    source,
    trialKey: undefined,
    isStored: false,
    nextWriteAt: at + storeWriteSpacingMs * rankOf(state, key),
  };
  const redundant = [...quarantine.inForce.values()].filter((one) =>
    hasAllBlocks(knownCausesOf(state, one.blockIds), blockIds),
  );
  quarantine.inForce.set(key, added);
  quarantine.releases.delete(key);
  publishItem(state, itemOf(added));
  return [
    logLine(
      `${subjectOf(added)} quarantined`,
      {
        ...contextOf(state, added),
        heldForMs: Math.round(heldUntil - at),
      },
      Severity.Warn,
    ),
    ...redundant.flatMap((one) =>
      removeQuarantine(
        state,
        one,
        [],
        isOwnDecision && isResponsible(state, one),
      ),
    ),
    ...endHeldExchanges(state, added),
  ];
};

/** Whether a quarantine in force holds all requests with the causes. */
export const hasSubsetInForce = (
  state: RelayState,
  blockIds: readonly string[],
): boolean => {
  const causes = knownCausesOf(state, blockIds);
  return [...state.quarantine.inForce.values()].some((one) =>
    hasAllBlocks(causes, one.blockIds),
  );
};

/** Extends quarantines that a new crash confirms; after a failed trial the hold doubles. */
export const renewQuarantines = (
  state: RelayState,
  { at, suspects }: EngineCrash,
): void => {
  for (const quarantine of state.quarantine.inForce.values()) {
    const confirming = [...suspects].filter(([, blockIds]) =>
      hasAllBlocks(blockIds, quarantine.blockIds),
    );
    if (confirming.length === 0 || at <= quarantine.crashedAt) continue;
    quarantine.crashedAt = at;
    quarantine.crashCount += 1;
    const trial = state.exchanges.get(quarantine.trialKey ?? "");
    const isTrialOver =
      trial === undefined || suspects.has(trial.request.fingerprint);
    if (quarantine.trialKey !== undefined && isTrialOver) {
      quarantine.trialKey = undefined;
      quarantine.holdCount += 1;
      quarantine.isStored = false;
      quarantine.nextWriteAt = state.at;
    }
    quarantine.heldUntil = Math.max(
      quarantine.heldUntil,
      at + holdMsOf(quarantine.holdCount),
    );
    publishItem(state, itemOf(quarantine));
  }
};

/** Clears blocks with which engines answer well; what is left of a quarantine stays in force. */
export const clearSucceededBlocks = (
  state: RelayState,
  reason: string,
  isOwnDecision: boolean,
): RelayCommand[] => {
  const { inForce, succeededAt } = state.quarantine;
  return [...inForce.values()].flatMap((quarantine) => {
    const { blockIds, crashedAt } = quarantine;
    const rest = blockIds.filter(
      (id) => (succeededAt.get(id) ?? -Infinity) < crashedAt,
    );
    if (rest.length === blockIds.length) return [];
    const succeeded = blockIds.filter((id) => !rest.includes(id));
    const lines = [
      logLine(`${subjectOf(quarantine)} released`, {
        ...contextOf(state, quarantine),
        reason,
        stillHeld: rest.length > 0 ? rest : undefined,
      }),
      ...removeQuarantine(state, quarantine, succeeded, isOwnDecision),
    ];
    if (rest.length === 0 || hasSubsetInForce(state, rest)) return lines;
    const narrowed = { ...itemOf(quarantine), blockIds: rest };
    return [...lines, ...addQuarantine(state, narrowed, isOwnDecision)];
  });
};

const minHoldChangeMs = 250; // ages on the wire lag by the way of the message

/** Adopts or updates a quarantine that another router or the store told. */
export const learnQuarantine = (
  state: RelayState,
  item: QuarantineItem,
): RelayCommand[] => {
  const { inForce, succeededAt } = state.quarantine;
  const isCleared = item.blockIds.some(
    (id) => (succeededAt.get(id) ?? -Infinity) >= item.crashedAt,
  );
  if (isCleared) return [];
  const known = inForce.get(quarantineKeyOf(item.blockIds));
  if (known === undefined)
    return hasSubsetInForce(state, item.blockIds)
      ? []
      : addQuarantine(state, item, false);
  const isNews =
    item.holdCount > known.holdCount ||
    item.heldUntil > known.heldUntil + minHoldChangeMs;
  if (!isNews) return [];
  known.holdCount = Math.max(known.holdCount, item.holdCount);
  known.heldUntil = Math.max(known.heldUntil, item.heldUntil);
  known.crashedAt = Math.max(known.crashedAt, item.crashedAt);
  known.crashCount = Math.max(known.crashCount, item.crashCount);
  publishItem(state, itemOf(known));
  return [];
};

const minNewerMs = 500; // later marks of a busy block are no news

/** Whether a mark of a succeeded block says more than the known one. */
export const isNewerMark = (
  { quarantine: { succeededAt } }: RelayState,
  blockId: string,
  at: Timestamp,
): boolean => at - (succeededAt.get(blockId) ?? -Infinity) > minNewerMs;

/** Records when engines answered well with blocks, the latest last. */
export const recordSucceededAt = (
  { quarantine: { succeededAt } }: RelayState,
  blockIds: readonly string[],
  at: Timestamp,
): void => {
  for (const id of blockIds) {
    const known = succeededAt.get(id) ?? -Infinity;
    succeededAt.delete(id);
    succeededAt.set(id, Math.max(known, at));
  }
};
