/** Reads load reports and cache events of engines, at a bounded rate. */

import { createChannel, createSource, now } from "@cardamomglade/common";
import { viewOf } from "@cardamomglade/decisions";
import { BackEndType, type BackEnd } from "@cardamomglade/schema";
import type { CacheEventClient, Engines } from "@cardamomglade/upstream";
import type { RouterEvent } from "../types.js";
import type { RouterDriver, StateView } from "./types.js";

const tickMs = 50;
const readEveryMs = 1000;
const readTimeoutMs = 800;
/** Engines read in a second, over all; more engines are read less often. */
const enginesPerSecond = 40;

/** Drives reads of load and cache events. */
export const createLoadDriver = (
  engines: Engines,
  cacheEvents: CacheEventClient,
  view: StateView,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const reading = new Set<string>();
  let turn = 0;
  let owed = 0;

  const readOne = async ({ name, url }: BackEnd) => {
    reading.add(name);
    const since = viewOf(view().routing, name).nextCacheEvent;
    const deadline = now() + readTimeoutMs;
    const [report, read] = await Promise.all([
      engines.readLoad(url, deadline),
      cacheEvents.read(url, since, deadline),
    ]);
    reading.delete(name);
    const at = now();
    const news =
      report === undefined
        ? ({ type: "unreadable" } as const)
        : ({ type: "report", report } as const);
    channel.push({ type: "loadRead", at, backEnd: name, news });
    if (read === undefined) return;
    channel.push({ type: "cacheEventsRead", at, backEnd: name, read });
  };

  const timer = setInterval(() => {
    const all = view().config.intent.backEnds.filter(
      ({ type }) => type === BackEndType.Engine,
    );
    const rate = Math.min(enginesPerSecond, (all.length * 1000) / readEveryMs);
    owed = Math.min(all.length, owed + (rate * tickMs) / 1000);
    for (; owed >= 1; owed -= 1) {
      const next = all[turn % Math.max(1, all.length)];
      turn += 1;
      if (next !== undefined && !reading.has(next.name)) void readOne(next);
    }
  }, tickMs);

  return createSource(channel.stream, () => {
    clearInterval(timer);
    return cacheEvents.close();
  });
};
