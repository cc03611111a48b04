/**
 * Finds the requests under which replicas end. Load pattern: one request comes
 * again and again at many routers and ends each replica that it is sent to, one
 * after the other within milliseconds, beside sound requests, their retries, and
 * replicas that are lost together for another reason.
 */

import { minCrashCount } from "./constants.js";
import type { EngineCrash, Episode } from "./types.js";

const causesOfCrash = ({ suspects }: EngineCrash): ReadonlySet<string> =>
  new Set([...suspects.values()].flat());

/**
 * Crashes by request. Of replicas that ended together, those count for a request
 * that was at half of them or more: the others had another cause.
 */
const groupByRequest = (
  episodes: readonly Episode[],
): Map<string, EngineCrash[]> => {
  const byRequest = new Map<string, EngineCrash[]>();
  for (const { crashes } of episodes) {
    const ids = new Set(crashes.flatMap((crash) => [...causesOfCrash(crash)]));
    for (const id of ids) {
      const own = crashes.filter((crash) => causesOfCrash(crash).has(id));
      if (2 * own.length < crashes.length) continue;
      byRequest.set(id, [...(byRequest.get(id) ?? []), ...own]);
    }
  }
  return byRequest;
};

/**
 * Whether the crashes speak no more against the request than against another one,
 * which was lost in all of them as well. A crash more than is needed is enough.
 */
const isAmbiguous = (
  id: string,
  own: readonly EngineCrash[],
  byRequest: ReadonlyMap<string, readonly EngineCrash[]>,
): boolean =>
  [...byRequest].some(
    ([other, crashes]) =>
      other !== id &&
      own.every((crash) => crashes.includes(crash)) &&
      (crashes.length > own.length || own.length === minCrashCount),
  );

/** Returns sets of one request each that explain enough crashes. */
export const findCulpritRequests = (
  episodes: readonly Episode[],
): (readonly string[])[] => {
  const byRequest = groupByRequest(episodes);
  return [...byRequest]
    .filter(([, own]) => own.length >= minCrashCount)
    .filter(([id, own]) => !isAmbiguous(id, own, byRequest))
    .map(([id]) => [id]);
};
