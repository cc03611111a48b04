/**
 * Finds the prompt blocks, and the requests, under which replicas end. Load pattern: requests with
 * one bad block come to many routers, each ends the engines it is sent to, and
 * good requests that share its other blocks or its engine are lost with it.
 */

import type { Timestamp } from "@cardamomglade/common";
import { correlatedLossWindowMs } from "../constants.js";
import {
  maxCrashCountPerRequest,
  minCrashCount,
  minNarrowingCrashCount,
  succeededBlockHandicap,
} from "./constants.js";
import { isRequestCause } from "./causes.js";
import { findCulpritRequests } from "./findCulpritRequests.js";
import type { CrashSuspects, EngineCrash, Episode } from "./types.js";

/** Whether a request has all of the blocks. */
export const hasAllBlocks = (
  requestBlockIds: readonly string[],
  blockIds: readonly string[],
): boolean => blockIds.every((id) => requestBlockIds.includes(id));

/** Groups crashes that are one failure. */
export const groupByMoment = (crashes: readonly EngineCrash[]): Episode[] => {
  const episodes: Episode[] = [];
  for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
    const last = episodes.at(-1);
    if (last && crash.at - last.startedAt < correlatedLossWindowMs)
      last.crashes.push(crash);
    else episodes.push({ startedAt: crash.at, crashes: [crash] });
  }
  return episodes;
};

/** A request that was lost in an episode, with its blocks. */
interface Loss {
  readonly episode: Episode;
  readonly request: string;
  readonly blockIds: readonly string[];
}

const lossesIn = (episodes: readonly Episode[]): Loss[] =>
  episodes.flatMap((episode) =>
    episode.crashes.flatMap(({ suspects }) =>
      [...suspects].map(([request, blockIds]) => ({
        episode,
        request,
        blockIds,
      })),
    ),
  );

const groupByBlock = (losses: readonly Loss[]): Map<string, Loss[]> => {
  const byBlock = new Map<string, Loss[]>();
  for (const loss of losses)
    for (const id of loss.blockIds) {
      const known = byBlock.get(id);
      if (known === undefined) byBlock.set(id, [loss]);
      else known.push(loss);
    }
  return byBlock;
};

/** Episodes of some losses, of each request only the first ones. */
const episodesOf = (losses: readonly Loss[]): Set<Episode> => {
  const episodesByRequest = new Map<string, Set<Episode>>();
  const explained = new Set<Episode>();
  for (const { episode, request } of losses) {
    const counted = episodesByRequest.get(request) ?? new Set<Episode>();
    episodesByRequest.set(request, counted);
    if (counted.size < maxCrashCountPerRequest) counted.add(episode);
    if (counted.has(episode)) explained.add(episode);
  }
  return explained;
};

/** Keeps some of the possible causes, and the requests that have any of them. */
const withCauses = (
  { process, at, suspects }: EngineCrash,
  isKept: (id: string) => boolean,
): EngineCrash => {
  const rest: CrashSuspects = new Map();
  for (const [request, blockIds] of suspects) {
    const kept = blockIds.filter(isKept);
    if (kept.length > 0) rest.set(request, kept);
  }
  return { process, at, suspects: rest };
};

/** Removes causes with which a replica answered well since. */
const withoutSucceeded = (
  crash: EngineCrash,
  succeededAt: ReadonlyMap<string, Timestamp>,
): EngineCrash =>
  withCauses(crash, (id) => (succeededAt.get(id) ?? -Infinity) < crash.at);

/** A block with the losses that it would explain. */
interface Candidate {
  readonly id: string;
  readonly losses: readonly Loss[];
  readonly episodes: ReadonlySet<Episode>;
  /** Number of episodes, reduced for a block that was answered well before. */
  readonly score: number;
  readonly hasSucceeded: boolean;
}

const candidatesOf = (
  losses: readonly Loss[],
  succeededAt: ReadonlyMap<string, Timestamp>,
): Candidate[] =>
  [...groupByBlock(losses)]
    .map(([id, own]) => {
      const episodes = episodesOf(own);
      const hasSucceeded = succeededAt.has(id);
      const score = episodes.size - (hasSucceeded ? succeededBlockHandicap : 0);
      return { id, losses: own, episodes, score, hasSucceeded };
    })
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));

/**
 * Adds the blocks that the crashes do not tell apart from the given one, because
 * nearly the same requests have them. Only requests with all of them are held.
 */
const addInseparable = (
  first: Candidate,
  others: readonly Candidate[],
): { readonly blockIds: string[]; readonly losses: readonly Loss[] } => {
  const blockIds = [first.id];
  let { losses } = first;
  const minExplained = Math.max(
    minCrashCount,
    first.episodes.size - minNarrowingCrashCount + 1,
  );
  for (const { id, episodes } of others) {
    if (id === first.id || episodes.size < minExplained) continue;
    const joined = losses.filter((loss) => loss.blockIds.includes(id));
    if (episodesOf(joined).size < minExplained) continue;
    blockIds.push(id);
    losses = joined;
  }
  return { blockIds: blockIds.sort(), losses };
};

const isSubset = <T>(part: ReadonlySet<T>, whole: ReadonlySet<T>): boolean =>
  [...part].every((one) => whole.has(one));

/** Blocks that explain crashes. */
interface Explanation {
  readonly blockIds: readonly string[];
  /** Whether blocks of other requests explain as many. */
  readonly isAmbiguous: boolean;
}

/** The blocks that explain most episodes; undefined if they are few. */
const findMostLikely = (
  crashes: readonly EngineCrash[],
  succeededAt: ReadonlyMap<string, Timestamp>,
): Explanation | undefined => {
  const candidates = candidatesOf(
    lossesIn(groupByMoment(crashes)),
    succeededAt,
  );
  const [first] = candidates;
  if (first === undefined || first.score < minCrashCount) return undefined;
  const unproven = candidates.filter(({ hasSucceeded }) => !hasSucceeded);
  const { blockIds, losses } = addInseparable(first, unproven);
  const explained = new Set(losses.map(({ episode }) => episode));
  const isAmbiguous = unproven.some(
    ({ id, score, episodes }) =>
      score === first.score &&
      !blockIds.includes(id) &&
      isSubset(episodes, explained),
  );
  return { blockIds, isAmbiguous };
};

/** Whether a crash had a request with all of the blocks. */
export const isExplained = (
  { suspects }: EngineCrash,
  culprit: readonly string[],
): boolean =>
  [...suspects.values()].some((blockIds) => hasAllBlocks(blockIds, culprit));

/**
 * Returns sets of blocks that each explain several crashes, the best explanation
 * first; what one set explains is no evidence against another. A set has more
 * than one block where the crashes do not tell its blocks apart.
 */
const findCulpritBlocks = (
  crashes: readonly EngineCrash[],
  succeededAt: ReadonlyMap<string, Timestamp>,
): (readonly string[])[] => {
  let unexplained = crashes.map((one) =>
    withCauses(one, (id) => !isRequestCause(id)),
  );
  const found: (readonly string[])[] = [];
  for (;;) {
    const explanation = findMostLikely(unexplained, succeededAt);
    if (explanation === undefined) return found;
    const { blockIds, isAmbiguous } = explanation;
    if (!isAmbiguous) found.push(blockIds);
    unexplained = unexplained.filter((one) => !isExplained(one, blockIds));
  }
};

/**
 * Returns what explains several crashes: sets of prompt blocks, and of what they
 * leave unexplained, single requests. Blocks go first, as each request with a bad
 * one looks like the cause by itself.
 */
export const findCulprits = (
  crashes: Iterable<EngineCrash>,
  succeededAt: ReadonlyMap<string, Timestamp>,
): (readonly string[])[] => {
  const unproven = [...crashes].map((one) =>
    withoutSucceeded(one, succeededAt),
  );
  const blocks = findCulpritBlocks(unproven, succeededAt);
  const unexplained = unproven
    .filter((one) => !blocks.some((blockIds) => isExplained(one, blockIds)))
    .map((one) => withCauses(one, isRequestCause));
  return [...blocks, ...findCulpritRequests(groupByMoment(unexplained))];
};
