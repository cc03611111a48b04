/** Uses a process that was found at a replica's address, if what it says proves that it is one of the same service. */

import { ReplicaState, type Replica } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { logLine } from "../logLine.js";
import { random } from "../random.js";
import {
  createReplicaView,
  isFromOtherProcess,
  markReplaced,
  processKeyOf,
} from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import { unknownSoftwareVersion } from "../versions/constants.js";
import { isStoreUnavailable } from "./adoptionState.js";
import { idSpreadMs, maxAdoption } from "./constants.js";
import { searchOf, returnToldOf } from "./findReturned.js";
import { serviceOfModels } from "./modelServices.js";
import type { ProcessAnswer } from "./types.js";

/** The report of a later process than the known one, if its models prove that it is of the same service. */
const successorReport = (
  state: RelayState,
  { replica }: ReplicaView,
  { report, isLeaving }: ProcessAnswer,
) => {
  if (report === undefined || isLeaving) return undefined;
  const { startedAt, modelNames = [] } = report;
  if (startedAt === undefined || startedAt <= replica.startedAt)
    return undefined;
  return serviceOfModels(state, modelNames) === replica.service
    ? { ...report, startedAt }
    : undefined;
};

/** Whether a process may be used under its id. */
const isAdoptable = (state: RelayState, replica: Replica): boolean => {
  const known = state.replicas.get(replica.id)?.replica;
  const process = processKeyOf(replica);
  if (state.leavingProcesses.has(process)) return false;
  if (state.departedReplicas.has(process)) return false;
  if (state.quarantine.crashes.has(process)) return false;
  if (known === undefined) return true;
  return (
    known.service === replica.service && known.startedAt < replica.startedAt
  );
};

const adopt = (
  state: RelayState,
  replica: Replica,
  predecessor: Replica,
  learnedFrom: string,
): RelayCommand => {
  const { adoption, at } = state;
  state.missingReplicas.delete(replica.id);
  state.replicas.set(replica.id, createReplicaView(replica));
  adoption.adopted.set(replica.id, { replica, askedAt: at, seenAt: at });
  adoption.adoptedCount += 1;
  const { id, startedAt, host, port } = replica;
  if (adoption.news.length < maxAdoption.told)
    adoption.news.push({ id, startedAt, host, port, seenAt: at });
  return logLine("replica is back and used without an entry", {
    replica: id,
    service: replica.service,
    replicaZone: replica.zone,
    predecessor: predecessor.id,
    learnedFrom,
  });
};

/** Notes that an adopted replica is still there, or that its process says otherwise. */
const confirm = (
  state: RelayState,
  view: ReplicaView,
  { report, isLeaving }: ProcessAnswer,
): void => {
  const adopted = state.adoption.adopted.get(view.replica.id);
  if (adopted === undefined || report === undefined) return;
  if (isFromOtherProcess(view.replica, report))
    markReplaced(state, view.replica, state.at);
  else if (isLeaving) view.hasAnnouncedLeaving = true;
  else adopted.seenAt = state.at;
};

/** Handles what a process at a replica's address says of itself. */
export const addressProbed = (
  state: RelayState,
  { replica: predecessorId, startedAt, answer }: RelayEventOf<"addressProbed">,
): RelayCommand[] => {
  const view = state.replicas.get(predecessorId);
  if (view?.replica.startedAt !== startedAt || !isStoreUnavailable(state))
    return [];
  confirm(state, view, answer);
  const report = successorReport(state, view, answer);
  if (report === undefined) return [];
  const { replica: predecessor } = view;
  markReplaced(state, predecessor, state.at);
  const returned = returnToldOf(state, view);
  const toldId =
    returned?.startedAt === report.startedAt ? returned.id : undefined;
  const id = answer.id ?? toldId;
  if (id === undefined) {
    const search = searchOf(state, view);
    search.askIdAt ??= state.at + idSpreadMs * random(state);
    search.nextProbeAt = search.askIdAt;
    return [];
  }
  const replica: Replica = {
    ...predecessor,
    id,
    startedAt: report.startedAt,
    state: ReplicaState.Ready,
    softwareVersion: unknownSoftwareVersion,
    reportNumber: 0,
  };
  if (!isAdoptable(state, replica)) return [];
  const learnedFrom = answer.id === undefined ? "another router" : "replica";
  return [adopt(state, replica, predecessor, learnedFrom)];
};
