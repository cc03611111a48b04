/** Ends the use of adopted replicas: the store has their entries again, or does not, or they say otherwise. */

import type { RelayCommand } from "../commands.js";
import { replicaReregistrationMs } from "../constants.js";
import { logLine } from "../logLine.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import { unknownSoftwareVersion } from "../versions/constants.js";
import { recordOrigin } from "../versions/streamOrigins.js";
import { isStoreUnavailable } from "./adoptionState.js";
import { adoptedMaxSilenceMs } from "./constants.js";

/** Software of the process that serves a stream, if its entry has been read. */
const knownSoftware = (
  { replicas }: RelayState,
  { attempt }: Exchange,
): string | undefined => {
  const replica = attempt && replicas.get(attempt.replica.id)?.replica;
  if (replica?.startedAt !== attempt?.replica.startedAt) return undefined;
  return replica?.softwareVersion === unknownSoftwareVersion
    ? undefined
    : replica?.softwareVersion;
};

/** Binds streams of unknown software to that of the entry, once it is read; the replica may leave by then. */
export const bindStreams = (state: RelayState): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    if (exchange.softwareVersion !== unknownSoftwareVersion) return [];
    const softwareVersion = knownSoftware(state, exchange);
    if (softwareVersion === undefined) return [];
    exchange.softwareVersion = softwareVersion;
    return recordOrigin(state, exchange, softwareVersion, true);
  });

/** Why an adopted replica is not used any more; undefined while it is. */
const endOf = (
  state: RelayState,
  view: ReplicaView | undefined,
  seenAt: number,
): string | undefined => {
  if (view === undefined) return "the store has no entry of it";
  if (view.hasAnnouncedLeaving) return "it leaves";
  if (view.replacedAt !== undefined) return "another process has its address";
  const silentMs = state.at - Math.max(seenAt, view.reportReceivedAt);
  return isStoreUnavailable(state) && silentMs > adoptedMaxSilenceMs
    ? "it is silent"
    : undefined;
};

const undo = (
  state: RelayState,
  id: string,
  view: ReplicaView | undefined,
  reason: string,
): RelayCommand => {
  state.adoption.adopted.delete(id);
  state.adoption.undoneCount += 1;
  if (view?.inFlight === 0) state.replicas.delete(id);
  else if (view !== undefined) view.drainingSince ??= state.at;
  return logLine("replica is not used without an entry any more", {
    replica: id,
    reason,
    inFlight: view?.inFlight,
  });
};

/** Ends adoptions that an entry confirms or that are over. */
export const settleAdoptions = (state: RelayState): RelayCommand[] =>
  [...state.adoption.adopted].flatMap(([id, { replica, seenAt }]) => {
    const view = state.replicas.get(id);
    const isSame = view?.replica.startedAt === replica.startedAt;
    const version = view?.replica.softwareVersion;
    if (view === undefined || (isSame && version === unknownSoftwareVersion)) {
      const reason = endOf(state, view, seenAt);
      return reason === undefined ? [] : [undo(state, id, view, reason)];
    }
    state.adoption.adopted.delete(id);
    return [];
  });

/** Gives adopted replicas the time to register again once the store is back. */
export const awaitEntries = ({
  adoption,
  missingReplicas,
  at,
}: RelayState): void => {
  for (const id of adoption.adopted.keys())
    missingReplicas.set(id, at + replicaReregistrationMs);
};
