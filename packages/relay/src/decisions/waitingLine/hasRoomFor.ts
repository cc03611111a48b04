/**
 * Tells whether an engine has room for a request now. Load pattern: a burst of less urgent
 * requests takes the last places, and more urgent ones that come next displace runs or wait
 * behind them.
 */

import { sizeOf } from "../room/requestSize.js";
import { missingPlaces, roomOf } from "../room/roomOf.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import { reservedPlaceCount } from "./constants.js";
import { hasSeveralRanks, isMostUrgent } from "./ranks.js";

/**
 * Whether an engine reads no prompt and has a place for the request; a less urgent one
 * leaves a place for more urgent ones. False without a recent report.
 */
export const hasRoomFor = (
  state: RelayState,
  view: ReplicaView,
  { request, service, priority }: Exchange,
): boolean => {
  const size = sizeOf(request);
  const room = roomOf(state, view, size);
  if (room === undefined || room.prefilling > 0) return false;
  const isUrgent = isMostUrgent(state, service, priority);
  const placeCount = 1 + (isUrgent ? 0 : reservedPlaceCount);
  return missingPlaces(room, size, placeCount) === 0;
};

/** Returns the engines that have room for a request, or all if none has; all if no request of its service is more urgent than others. */
export const preferEnginesWithRoom = (
  state: RelayState,
  exchange: Exchange,
  views: readonly ReplicaView[],
): readonly ReplicaView[] => {
  if (!hasSeveralRanks(state, exchange.service)) return views;
  const open = views.filter((view) => hasRoomFor(state, view, exchange));
  return open.length === 0 ? views : open;
};
