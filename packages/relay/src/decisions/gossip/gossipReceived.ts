/** Applies what another router told, and sends on what is new here. */

import { assertNever } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { crashItems, learnCrash } from "../quarantine/engineCrashes.js";
import {
  clearSucceededBlocks,
  isNewerMark,
  learnQuarantine,
  quarantineItems,
  recordSucceededAt,
} from "../quarantine/quarantines.js";
import { trackedBlocks } from "../quarantine/quarantineState.js";
import { learnLeaving, leavingItems } from "../leavingReplicas.js";
import { learnRequestLimit, limitItems } from "../requestLimits.js";
import { learnVersion, versionItems } from "../versions/serviceVersions.js";
import { isKnownRouter } from "../registration.js";
import type { RelayState } from "../types.js";
import { publishItem } from "./spreadGossip.js";
import type { CurrentItems, GossipItem, SucceededBlocksItem } from "./types.js";

const learnSucceededBlocks = (
  state: RelayState,
  { at, blockIds }: SucceededBlocksItem,
): RelayCommand[] => {
  const tracked = trackedBlocks(state);
  const news = blockIds.filter(
    (id) => tracked.has(id) && isNewerMark(state, id, at),
  );
  if (news.length === 0) return [];
  recordSucceededAt(state, news, at);
  publishItem(state, { type: "succeededBlocks", at, blockIds: news });
  return clearSucceededBlocks(state, "another router saw an answer", false);
};

const learnItem = (state: RelayState, item: GossipItem): RelayCommand[] => {
  switch (item.type) {
    case "engineCrash":
      learnCrash(state, item);
      return [];
    case "succeededBlocks":
      return learnSucceededBlocks(state, item);
    case "quarantine":
      return learnQuarantine(state, item);
    case "requestLimit":
      return learnRequestLimit(state, item);
    case "softwareVersion":
      return learnVersion(state, item);
    case "replicaLeaving":
      return learnLeaving(state, item);
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

const succeededItems = (state: RelayState): SucceededBlocksItem[] => {
  const tracked = trackedBlocks(state);
  return [...state.quarantine.succeededAt]
    .filter(([id]) => tracked.has(id))
    .map(([id, at]) => ({ type: "succeededBlocks", at, blockIds: [id] }));
};

/** All that this router could tell others. */
export const currentItems = (state: RelayState): CurrentItems => ({
  conclusions: [...versionItems(state), ...quarantineItems(state)],
  evidence: [
    ...leavingItems(state),
    ...limitItems(state),
    ...succeededItems(state),
    ...crashItems(state),
  ],
});
