/** Takes in cache events, which come late and with gaps. */

import type { Moment } from "@cardamomglade/common";
import { CacheEventType, type CacheEvents } from "@cardamomglade/schema";
import { blocksKept, blocksKeptPerBackEnd, gapGraceMs } from "./constants.js";
import type { BackEndView, RoutingState } from "./types.js";
import { viewOf } from "./views.js";

/** Believes that a back end holds blocks; the oldest beliefs go first. */
export const believeBlocks = (
  state: RoutingState,
  view: BackEndView,
  blocks: readonly string[],
  at: Moment,
): void => {
  for (const block of blocks) {
    view.blocks.delete(block);
    view.blocks.set(block, at);
  }
  const most = Math.min(
    blocksKeptPerBackEnd,
    Math.floor(blocksKept / Math.max(1, state.backEnds.size)),
  );
  for (const block of view.blocks.keys()) {
    if (view.blocks.size <= most) return;
    view.blocks.delete(block);
  }
};

/** Whether a block is believed to be held: confirmed after the newest gap, or the gap is recent. */
const isBelieved = (view: BackEndView, block: string, at: Moment): boolean => {
  const confirmedAt = view.blocks.get(block);
  if (confirmedAt === undefined) return false;
  return confirmedAt > view.gapAt || at - view.gapAt < gapGraceMs;
};

/** Number of leading blocks that a back end is believed to hold. */
export const countHeld = (
  view: BackEndView,
  blocks: readonly string[],
  at: Moment,
): number => {
  let held = 0;
  for (const block of blocks) {
    if (!isBelieved(view, block, at)) return held;
    held += 1;
  }
  return held;
};

const noteGap = (
  view: BackEndView,
  { events, next }: CacheEvents,
  at: Moment,
): void => {
  const isRestarted = next < view.nextCacheEvent;
  if (isRestarted) view.blocks.clear();
  let expected = isRestarted ? 0 : view.nextCacheEvent;
  for (const { sequence } of events) {
    if (sequence !== expected) view.gapAt = at;
    expected = sequence + 1;
  }
  if (next !== expected) view.gapAt = at;
};

/** Folds a read of cache events; a sequence that goes back means that the engine is new. */
export const noteCache = (
  state: RoutingState,
  backEnd: string,
  read: CacheEvents,
  at: Moment,
): void => {
  const view = viewOf(state, backEnd);
  noteGap(view, read, at);
  const stored: string[] = [];
  for (const { type, block } of read.events) {
    if (type === CacheEventType.Stored) stored.push(block);
    else view.blocks.delete(block);
  }
  believeBlocks(state, view, stored, at);
  view.nextCacheEvent = read.next;
};
