/** Describes the room at an engine for log lines. */

import type { CallerRequest } from "../../types.js";
import type { DecisionContext } from "../commands.js";
import { engineOf } from "../engineOf.js";
import { ageOf } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import { expectedFirstEventMs } from "./expectedFirstEvent.js";
import { sizeOf } from "./requestSize.js";
import { roomOf } from "./roomOf.js";

/** The room that the router saw at the engine, its age, and the expected time to the first event; nothing of a replica without an engine. */
export const describeRoom = (
  state: RelayState,
  view: ReplicaView,
  request: CallerRequest,
): DecisionContext => {
  if (engineOf(state, view.replica.service) === undefined) return {};
  const size = sizeOf(request);
  const room = roomOf(state, view, size);
  return {
    expectedFirstEventMs: Math.round(expectedFirstEventMs(state, view, size)),
    freeSlots: room && Math.floor(room.freeSlots),
    freeTokens: room && Math.floor(room.freeTokens),
    prefilling: room?.prefilling,
    reportAgeMs: ageOf(state, view.reportReceivedAt),
  };
};
