/**
 * Spreads what one router learned to the others: each new item goes to some
 * routers, which send it on in turn, and all current items go to one router
 * each second. Load pattern: the same fault meets many routers, each with too
 * few requests to learn from them alone, while the store or links are down.
 */

import { sampleWithoutReplacement } from "../random.js";
import { otherRouterAddresses } from "../registration.js";
import type { RelayCommand } from "../commands.js";
import type { RelayState } from "../types.js";
import {
  freshItemBurst,
  freshItemRatePerS,
  gossipExchangeIntervalMs,
  gossipFanout,
  maxConclusionCount,
  maxFreshItemCount,
  maxGossipItemCount,
} from "./constants.js";
import type { CurrentItems, GossipItem, GossipState } from "./types.js";

/** Creates the state without anything to tell. */
export const createGossipState = (): GossipState => ({
  fresh: [],
  freshAllowance: freshItemBurst,
  freshAllowanceAt: 0,
  nextExchangeAt: 0,
  exchangeOffset: 0,
});

/** Queues an item that is new here for other routers. */
export const publishItem = ({ gossip }: RelayState, item: GossipItem): void => {
  if (gossip.fresh.length < maxFreshItemCount) gossip.fresh.push(item);
};

const sendTo = (
  state: RelayState,
  routerCount: number,
  items: readonly GossipItem[],
): RelayCommand[] =>
  items.length === 0
    ? []
    : sampleWithoutReplacement(
        state,
        otherRouterAddresses(state),
        routerCount,
      ).map((to): RelayCommand => ({ type: "gossip", to, items }));

/** Takes conclusions, and the next part of the evidence, so that all of it is sent in time. */
const takeExchangeItems = (
  { gossip }: RelayState,
  { conclusions, evidence }: CurrentItems,
): readonly GossipItem[] => {
  const told = conclusions.slice(0, maxConclusionCount);
  if (gossip.exchangeOffset >= evidence.length) gossip.exchangeOffset = 0;
  const from = gossip.exchangeOffset;
  gossip.exchangeOffset += maxGossipItemCount - told.length;
  return [...told, ...evidence.slice(from, gossip.exchangeOffset)];
};

/** Takes the new items that may be sent on now; the rest waits, so that a storm of news stays small. */
const takeFreshItems = ({ gossip, at }: RelayState): GossipItem[] => {
  const gained = ((at - gossip.freshAllowanceAt) * freshItemRatePerS) / 1000;
  gossip.freshAllowance = Math.min(
    freshItemBurst,
    gossip.freshAllowance + gained,
  );
  gossip.freshAllowanceAt = at;
  const count = Math.min(maxGossipItemCount, Math.floor(gossip.freshAllowance));
  const taken = gossip.fresh.splice(0, count);
  gossip.freshAllowance -= taken.length;
  return taken;
};

/** Sends new items at once and the current ones when due. */
export const spreadGossip = (
  state: RelayState,
  currentItems: () => CurrentItems,
): RelayCommand[] => {
  const { gossip, at } = state;
  const commands = sendTo(state, gossipFanout, takeFreshItems(state));
  if (at < gossip.nextExchangeAt) return commands;
  gossip.nextExchangeAt = at + gossipExchangeIntervalMs;
  const due = takeExchangeItems(state, currentItems());
  return [...commands, ...sendTo(state, 1, due)];
};
