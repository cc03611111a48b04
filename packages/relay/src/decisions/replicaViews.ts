/** Local view of replicas: last contact, losses and suspicion. */

import type { Timestamp } from "@cardamomglade/common";
import { ReplicaState, type EngineReport, type Replica } from "../types.js";
import {
  correlatedLossCount,
  correlatedLossWindowMs,
  suspicionMs,
} from "./constants.js";
import { unknownSoftwareVersion } from "./versions/constants.js";
import type { OutcomeCounts, RelayState, ReplicaView } from "./types.js";

/** Creates counts without an outcome. */
export const createOutcomeCounts = (): OutcomeCounts => ({
  succeeded: 0,
  failed: 0,
});

/** Creates the view of a replica that has not been contacted yet. */
export const createReplicaView = (replica: Replica): ReplicaView => ({
  replica,
  inFlight: 0,
  prefilling: 0,
  heardAt: 0,
  suspectUntil: 0,
  probeSentAt: undefined,
  bareProbeSentAt: undefined,
  answerTimes: new Map(),
  outcomes: createOutcomeCounts(),
  outcomesCountedAt: 0,
  unsharedOutcomes: createOutcomeCounts(),
  serviceTimes: new Map(),
  unsharedTimes: new Map(),
  report: undefined,
  reportReceivedAt: 0,
  promptBlocks: undefined,
  promptBlocksReadAt: 0,
  promptBlocksRequestedAt: 0,
  lastLossAt: 0,
  drainingSince: undefined,
  leftAt: undefined,
  hasAnnouncedLeaving: false,
  replacedAt: undefined,
  backOff: undefined,
  requestLimit: undefined,
});

/** Identifies one process of a replica. */
export const processKeyOf = ({
  id,
  startedAt,
}: Pick<Replica, "id" | "startedAt">): string => `${id}@${String(startedAt)}`;

/** Views of a service's replicas. */
export const replicasOf = (state: RelayState, service: string): ReplicaView[] =>
  [...state.replicas.values()].filter(
    ({ replica }) => replica.service === service,
  );

/** Whether a replica may receive new requests. */
export const isAvailable = (view: ReplicaView): boolean =>
  view.replica.state === ReplicaState.Ready &&
  view.drainingSince === undefined &&
  !view.hasAnnouncedLeaving &&
  view.replacedAt === undefined;

/** Whether the replica's process is known to have ended under requests; without its start time a later one looks the same. */
export const hasEnded = (
  { quarantine: { crashes } }: RelayState,
  { replica }: ReplicaView,
): boolean => replica.startedAt > 0 && crashes.has(processKeyOf(replica));

/** Whether a replica has the software version at which a stream goes on; any has it before the first event. */
export const hasSoftware = (
  { softwareVersion }: Replica,
  required: string | undefined,
): boolean =>
  required === undefined ||
  (softwareVersion === required && required !== unknownSoftwareVersion);

/** Whether a replica is avoided because of a recent loss. */
export const isSuspected = (view: ReplicaView, at: Timestamp): boolean =>
  view.suspectUntil > at;

/** Whether a report comes from another process that now has the replica's address. */
export const isFromOtherProcess = (
  { startedAt }: Replica,
  report: EngineReport | undefined,
): boolean =>
  startedAt > 0 &&
  report?.startedAt !== undefined &&
  report.startedAt !== startedAt;

/** Milliseconds since a time, for log lines; undefined if it was never set. */
export const ageOf = (state: RelayState, time: number): number | undefined =>
  time === 0 ? undefined : Math.round(state.at - time);

/** Records contact with a replica, which ends suspicion. */
export const recordContact = (
  state: RelayState,
  replicaId: string,
  at: Timestamp,
): void => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return;
  view.heardAt = at;
  view.suspectUntil = 0;
};

/** Records that another process has the replica's address: the replica has ended. */
export const markReplaced = (
  state: RelayState,
  { id }: Replica,
  at: Timestamp,
): void => {
  const view = state.replicas.get(id);
  if (view === undefined) return;
  view.replacedAt ??= at;
};

const neighboursOf = (state: RelayState, { id, service, zone }: Replica) =>
  replicasOf(state, service).filter(
    ({ replica }) => replica.id !== id && replica.zone === zone,
  );

/**
 * Records that a replica lost an attempt and suspects it. If other replicas of
 * the service in its zone lost attempts at the same time, those of the zone
 * without contact since are suspected too.
 */
export const recordLoss = (
  state: RelayState,
  replica: Replica,
  at: Timestamp,
): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.lastLossAt = at;
  view.suspectUntil = at + suspicionMs;
  const neighbours = neighboursOf(state, replica);
  const recentlyLost = neighbours.filter(
    ({ lastLossAt }) => at - lastLossAt < correlatedLossWindowMs,
  );
  if (recentlyLost.length + 1 < correlatedLossCount) return;
  for (const neighbour of neighbours)
    if (at - neighbour.heardAt > correlatedLossWindowMs)
      neighbour.suspectUntil = Math.max(
        neighbour.suspectUntil,
        at + suspicionMs,
      );
};
