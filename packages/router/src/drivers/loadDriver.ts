/** Reads load reports and cache events from engines at a limited rate. */

import { createChannel, createSourceDriver, now } from "@cardamomglade/common";
import { backEndViewOf } from "@cardamomglade/decisions";
import { BackEndType, type BackEnd } from "@cardamomglade/schema";
import type { CacheEventClient, Engines } from "@cardamomglade/upstream";
import type { RouterEvent } from "../types.js";
import type { RouterDriver, StateView } from "./types.js";

const tickIntervalMs = 50;
const readIntervalMs = 1000;
const readTimeoutMs = 800;
/** Limit on engine reads per second in total; with more engines each one is read less often. */
const maxReadsPerSecond = 40;

/** Reads load reports and cache events from each engine in turn. */
export const createLoadDriver = (
  engines: Engines,
  cacheEvents: CacheEventClient,
  view: StateView,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const reading = new Set<string>();
  let nextEngineIndex = 0;
  let dueReadCount = 0;

  const readEngine = async ({ name, url }: BackEnd) => {
    reading.add(name);
    const since = backEndViewOf(view().routing, name).nextCacheSequence;
    const deadline = now() + readTimeoutMs;
    const [report, read] = await Promise.all([
      engines.readLoad(url, deadline),
      cacheEvents.read(url, since, deadline),
    ]);
    reading.delete(name);
    const at = now();
    const update =
      report === undefined
        ? ({ type: "unreadable" } as const)
        : ({ type: "report", report } as const);
    channel.push({ type: "loadRead", at, backEnd: name, update });
    if (read === undefined) return;
    channel.push({
      type: "cacheEventsRead",
      at,
      backEnd: name,
      cacheEvents: read,
    });
  };

  const timer = setInterval(() => {
    const all = view().config.intent.backEnds.filter(
      ({ type }) => type === BackEndType.Engine,
    );
    const rate = Math.min(
      maxReadsPerSecond,
      (all.length * 1000) / readIntervalMs,
    );
    dueReadCount = Math.min(
      all.length,
      dueReadCount + (rate * tickIntervalMs) / 1000,
    );
    for (; dueReadCount >= 1; dueReadCount -= 1) {
      const next = all[nextEngineIndex % Math.max(1, all.length)];
      nextEngineIndex += 1;
      if (next !== undefined && !reading.has(next.name)) void readEngine(next);
    }
  }, tickIntervalMs);

  return createSourceDriver(channel.stream, () => {
    clearInterval(timer);
    return cacheEvents.close();
  });
};
