/**
 * Looks at some engines before a prompt is placed. Load pattern: prompts that
 * take an engine a second each, sent by many routers that do not know of each
 * other's; two at one engine make both late. A few engines drawn by the prompt's
 * hash and the best of them chosen spread work almost as well as full knowledge
 * (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
 */

import type { Moment } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import { rankFor, sampleFor } from "./chooseReplica.js";
import {
  enginesLookedAt,
  enginesSearchedOfZone,
  lookTimeMs,
  partsFreshMs,
  reportFreshMs,
  returnTimeMs,
  searchTimeMs,
} from "./constants.js";
import { isOpen } from "./replicaViews.js";
import { canCopy } from "./sendAttempt.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Exchange, Look, RelayState, ReplicaView } from "./types.js";

const isFresh = (state: RelayState, { reportAt }: ReplicaView): boolean =>
  state.at - reportAt < reportFreshMs;

const idsOf = (views: readonly ReplicaView[]): Set<string> =>
  new Set(views.map(({ replica }) => replica.id));

/** A look at some engines, of which some have not answered yet. */
const createLook = (
  type: Look["type"],
  sample: readonly ReplicaView[],
  awaited: readonly ReplicaView[],
  until: Moment,
): Look => ({ type, sample: idsOf(sample), awaited: idsOf(awaited), until });

/** The first engines of each zone. */
const firstOfZones = (ranked: readonly ReplicaView[]): ReplicaView[] => {
  const taken = new Map<string, number>();
  return ranked.filter(({ replica: { zone } }) => {
    const count = (taken.get(zone) ?? 0) + 1;
    taken.set(zone, count);
    return count <= enginesSearchedOfZone;
  });
};

/**
 * Asks engines which parts of prompts they hold. Load pattern: callers that all
 * come back at once, after their routers were lost, to routers that know nothing
 * of their streams; an engine that still holds the prompt need not read it again.
 */
const lookForPrompt = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { service, tried, request } = exchange;
  const query = { service, except: tried };
  const sample = firstOfZones(rankFor(state, query, request.lastPart ?? ""));
  const awaited = sample.filter(
    ({ partsAt }) => state.at - partsAt >= partsFreshMs,
  );
  const until = state.at + searchTimeMs;
  exchange.look = createLook("parts", sample, awaited, until);
  return awaited.flatMap((view): RelayCommand[] => {
    if (state.at - view.partsAskedAt < searchTimeMs) return [];
    view.partsAskedAt = state.at;
    return [{ type: "listParts", replica: view.replica }];
  });
};

/** An engine told which parts it holds, or did not answer. */
export const noteParts = (
  state: RelayState,
  { replica, parts, at }: RelayEventOf<"partsListed">,
): void => {
  const view = state.replicas.get(replica);
  if (view === undefined || parts === undefined) return;
  view.parts = parts;
  view.partsAt = at;
};

/** The engine that holds most of a prompt's own part, or undefined. */
export const holderOfPrompt = (
  state: RelayState,
  { look, request }: Exchange,
): Replica | undefined => {
  if (look?.type !== "parts" || request.lastPart === undefined)
    return undefined;
  let best: Replica | undefined;
  let most = 0;
  for (const id of look.sample) {
    const view = state.replicas.get(id);
    const tokens = view?.parts?.get(request.lastPart) ?? 0;
    if (view === undefined || tokens <= most || !isOpen(view)) continue;
    best = view.replica;
    most = tokens;
  }
  return best;
};

// Callers whose first event had not come bring no mark of their earlier try.
const isYoung = ({ at, startedAt }: RelayState): boolean =>
  at - startedAt < returnTimeMs;

/** Asks some engines for their reports; the request is sent when they have come. */
export const lookAround = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  if (!canCopy(state, exchange)) return [];
  const { service, tried, request, attempts } = exchange;
  const mayReturn = request.lastEventId !== undefined || isYoung(state);
  if (mayReturn && attempts === 0 && request.lastPart !== undefined)
    return lookForPrompt(state, exchange);
  const query = { service, except: tried };
  const sample = sampleFor(state, query, request.lastPart, enginesLookedAt);
  if (sample.length < 2) return [];
  const awaited = sample.filter((view) => !isFresh(state, view));
  const until = state.at + lookTimeMs;
  exchange.look = createLook("reports", sample, awaited, until);
  return awaited.flatMap((view): RelayCommand[] => {
    if (view.probedAt !== undefined) return [];
    view.probedAt = state.at;
    return [{ type: "probe", replica: view.replica, sentAt: state.at }];
  });
};

/** Whether a look is over: all reports have come, or its time has passed. */
export const isLookOver = (state: RelayState, { look }: Exchange): boolean =>
  look !== undefined && (look.awaited.size === 0 || state.at >= look.until);
