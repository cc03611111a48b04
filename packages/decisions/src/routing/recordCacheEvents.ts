/** Tracks the KV cache blocks of back ends from cache events, which arrive late and with gaps. */

import type { Timestamp } from "@cardamomglade/common";
import { CacheEventType, type CacheEvents } from "@cardamomglade/schema";
import {
  maxTrackedBlockCount,
  maxTrackedBlockCountPerBackEnd,
  cacheGapGraceMs,
} from "./constants.js";
import type { BackEndView, RoutingState } from "./types.js";
import { backEndViewOf } from "./backEndView.js";

/** Records blocks as cached at a back end; the blocks confirmed longest ago are evicted first. */
export const recordBlocks = (
  state: RoutingState,
  view: BackEndView,
  blocks: readonly string[],
  at: Timestamp,
): void => {
  for (const block of blocks) {
    view.blocks.delete(block);
    view.blocks.set(block, at);
  }
  const maxCount = Math.min(
    maxTrackedBlockCountPerBackEnd,
    Math.floor(maxTrackedBlockCount / Math.max(1, state.backEnds.size)),
  );
  for (const block of view.blocks.keys()) {
    if (view.blocks.size <= maxCount) return;
    view.blocks.delete(block);
  }
};

/** Whether a block is probably still cached: confirmed after the latest event gap, or the gap is recent. */
const isLikelyCached = (
  view: BackEndView,
  block: string,
  at: Timestamp,
): boolean => {
  const confirmedAt = view.blocks.get(block);
  if (confirmedAt === undefined) return false;
  return confirmedAt > view.lastGapAt || at - view.lastGapAt < cacheGapGraceMs;
};

/** Number of leading blocks that are probably cached at a back end. */
export const countCachedBlocks = (
  view: BackEndView,
  blocks: readonly string[],
  at: Timestamp,
): number => {
  let cachedCount = 0;
  for (const block of blocks) {
    if (!isLikelyCached(view, block, at)) return cachedCount;
    cachedCount += 1;
  }
  return cachedCount;
};

const detectGap = (
  view: BackEndView,
  { events, next }: CacheEvents,
  at: Timestamp,
): void => {
  const isRestarted = next < view.nextCacheSequence;
  if (isRestarted) view.blocks.clear();
  let expected = isRestarted ? 0 : view.nextCacheSequence;
  for (const { sequence } of events) {
    if (sequence !== expected) view.lastGapAt = at;
    expected = sequence + 1;
  }
  if (next !== expected) view.lastGapAt = at;
};

/** Applies a batch of cache events; a sequence number that goes back means that the engine has restarted with an empty cache. */
export const recordCacheEvents = (
  state: RoutingState,
  backEnd: string,
  read: CacheEvents,
  at: Timestamp,
): void => {
  const view = backEndViewOf(state, backEnd);
  detectGap(view, read, at);
  const stored: string[] = [];
  for (const { type, block } of read.events) {
    if (type === CacheEventType.Stored) stored.push(block);
    else view.blocks.delete(block);
  }
  recordBlocks(state, view, stored, at);
  view.nextCacheSequence = read.next;
};
