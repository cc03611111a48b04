/** Applies what another router told, and sends on what is new here. */

import { assertNever } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { crashItems, learnCrash } from "../quarantine/engineCrashes.js";
import {
  clearSoundBlocks,
  isNewerMark,
  learnQuarantine,
  quarantineItems,
  recordSoundAt,
} from "../quarantine/quarantines.js";
import { trackedBlocks } from "../quarantine/quarantineState.js";
import { learnRequestLimit, limitItems } from "../requestLimits.js";
import { isKnownRouter } from "../registration.js";
import type { RelayState } from "../types.js";
import { publishItem } from "./spreadGossip.js";
import type { CurrentItems, GossipItem, SoundBlocksItem } from "./types.js";

const learnSoundBlocks = (
  state: RelayState,
  { at, blockIds }: SoundBlocksItem,
): RelayCommand[] => {
  const tracked = trackedBlocks(state);
  const news = blockIds.filter(
    (id) => tracked.has(id) && isNewerMark(state, id, at),
  );
  if (news.length === 0) return [];
  recordSoundAt(state, news, at);
  publishItem(state, { type: "soundBlocks", at, blockIds: news });
  return clearSoundBlocks(state, "another router saw an answer", false);
};

const learnItem = (state: RelayState, item: GossipItem): RelayCommand[] => {
  switch (item.type) {
    case "engineCrash":
      learnCrash(state, item);
      return [];
    case "soundBlocks":
      return learnSoundBlocks(state, item);
    case "quarantine":
      return learnQuarantine(state, item);
    case "requestLimit":
      return learnRequestLimit(state, item);
    default:
      return assertNever(item);
  }
};

/** Handles items of gossip from another router. */
export const gossipReceived = (
  state: RelayState,
  { from, items }: RelayEventOf<"gossipReceived">,
): RelayCommand[] =>
  isKnownRouter(state, from)
    ? items.flatMap((item) => learnItem(state, item))
    : [];

const soundItems = (state: RelayState): SoundBlocksItem[] => {
  const tracked = trackedBlocks(state);
  return [...state.quarantine.soundAt]
    .filter(([id]) => tracked.has(id))
    .map(([id, at]) => ({ type: "soundBlocks", at, blockIds: [id] }));
};

/** All that this router could tell others. */
export const currentItems = (state: RelayState): CurrentItems => ({
  conclusions: quarantineItems(state),
  evidence: [...limitItems(state), ...soundItems(state), ...crashItems(state)],
});
