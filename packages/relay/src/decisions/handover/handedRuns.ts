/**
 * Runs of requests that routers hand on to each other. Load pattern: a router that is cut
 * from all replicas can't ask them to stop, and the router that takes a request over can.
 */

import {
  addEarlierRun,
  followRun,
  forgetRun,
  type LeftRun,
} from "../earlierRuns/followRuns.js";
import type { RelayCommand } from "../commands.js";
import { askStop } from "../earlierRuns/askStop.js";
import type { EarlierRun } from "../earlierRuns/types.js";
import type { AnsweringReplica, Exchange, RelayState } from "../types.js";
import { maxHandedRunCount } from "./constants.js";
import { copyOf } from "./takeOver.js";
import type { HandedRun, Handover, HandoverAttempt } from "./types.js";

/** Runs that a request left and that may be at work, the newest one last. */
const runsLeftBy = (
  { earlierRuns }: RelayState,
  key: string,
): readonly EarlierRun[] =>
  [...earlierRuns.values()].filter((run) => run.key === key);

/** Runs that another router is told of with a request. */
export const handedRunsOf = (
  state: RelayState,
  { key }: Exchange,
): readonly HandedRun[] =>
  runsLeftBy(state, key)
    .slice(-maxHandedRunCount)
    .map(({ replica, holder, begunAt, heardAt }) => ({
      replica: replica.id,
      startedAt: replica.startedAt,
      holder: (holder ?? replica).id,
      begunAt,
      heardAt,
    }));

/** A run that another router told of; undefined if its process is not known here, or is gone. */
const leftRunOf = (
  { replicas }: RelayState,
  { replica: id, startedAt, holder: holderId, begunAt, heardAt }: HandedRun,
): Omit<LeftRun, "attempt"> | undefined => {
  const replica = replicas.get(id)?.replica;
  if (replica?.startedAt !== startedAt) return undefined;
  const holder = holderId === id ? undefined : replicas.get(holderId)?.replica;
  return { replica, holder, begunAt, heardAt };
};

/** The run from which a copy was made, for a router whose software tells of no runs. */
const copiedRunsOf = (
  state: RelayState,
  handover: Handover,
): Omit<LeftRun, "attempt">[] => {
  const copy = copyOf(state, handover);
  if (copy === undefined) return [];
  const { source: replica, holder } = copy;
  return [{ replica, holder, begunAt: undefined, heardAt: state.at }];
};

/** Follows the runs that another router left, which count as this request's first attempts. */
export const followHandedRuns = (
  state: RelayState,
  exchange: Exchange,
  handover: Handover,
): readonly EarlierRun[] => {
  const left =
    handover.earlierRuns
      ?.map((run) => leftRunOf(state, run))
      .filter((run) => run !== undefined) ?? copiedRunsOf(state, handover);
  return left.map((run) => {
    const attempt = exchange.nextNumber;
    exchange.nextNumber += 1;
    return addEarlierRun(state, exchange, { ...run, attempt });
  });
};

/**
 * Stops the run of a request that its router takes back, or whose caller left that router:
 * it may go on elsewhere at once.
 */
export const stopHandedBack = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt, request } = exchange;
  if (request.handover === undefined || attempt === undefined) return [];
  const run = followRun(state, exchange, attempt);
  return run === undefined ? [] : askStop(state, run);
};

/**
 * Follows the run of a request whose router is lost: at the replica that answered, or before
 * that at the copy that the router was told of. Undefined if neither is known.
 */
export const followLostRun = (
  state: RelayState,
  exchange: Exchange,
  { number, head, copy, hasEvents, heardAt }: HandoverAttempt,
): EarlierRun | undefined => {
  const ranAt: AnsweringReplica | undefined = head?.answeredBy ?? copy?.holder;
  if (ranAt === undefined) return undefined;
  const { id, startedAt, copyHolder = id } = ranAt;
  const begunAt = hasEvents ? heardAt : undefined;
  const left = { replica: id, startedAt, holder: copyHolder, begunAt, heardAt };
  const run = leftRunOf(state, left);
  return run && addEarlierRun(state, exchange, { ...run, attempt: number });
};

/** Stops following the runs of a request at a replica that runs it for another router: a stop would end that run. */
export const forgetRunsAt = (
  state: RelayState,
  { key }: Exchange,
  replicaId: string,
): void => {
  for (const run of runsLeftBy(state, key))
    if (run.replica.id === replicaId) forgetRun(state, run);
};
