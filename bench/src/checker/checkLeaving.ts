/** Checks that leaving back ends get no new work and that planned stops interrupt no requests. */

import { isAtKilledRouter } from "./isAtFaultyRouter.js";
import type {
  CallerAnswer,
  CallerCall,
  PlannedStop,
  RunRecord,
  Violation,
} from "./types.js";

const newWorkGraceMs = 3000;

const checkNewWork = (record: RunRecord): Violation[] =>
  record.leaving.flatMap(({ backEnds, markedAt }) =>
    [...record.generations, ...record.runs]
      .filter(
        ({ backEnd, startedAt }) =>
          backEnds.includes(backEnd) && startedAt > markedAt + newWorkGraceMs,
      )
      .map(({ backEnd, requestId, startedAt }) => ({
        type: "newWorkOnLeaving" as const,
        subject: backEnd,
        message: `request ${requestId} started ${String(startedAt - markedAt)} ms after its host was marked as leaving`,
      })),
  );

const isInterrupted = (
  record: RunRecord,
  stop: PlannedStop,
  one: CallerAnswer | CallerCall,
): boolean =>
  one.outcome.type === "broken" &&
  one.sentAt < stop.at &&
  one.endedAt >= stop.at &&
  !isAtKilledRouter(record, one);

const ranOn = (
  { generations }: RunRecord,
  { requestId }: CallerAnswer,
  backEnds: readonly string[],
): boolean =>
  generations.some(
    (run) => run.requestId === requestId && backEnds.includes(run.backEnd),
  );

const checkStop = (record: RunRecord, stop: PlannedStop): Violation[] => {
  const affected =
    stop.type === "router"
      ? [...record.answers, ...record.calls].filter(
          ({ router }) => router === stop.router,
        )
      : record.answers.filter((answer) => ranOn(record, answer, stop.backEnds));
  return affected
    .filter((one) => isInterrupted(record, stop, one))
    .map((one) => ({
      type: "cutByPlannedStop",
      subject: "key" in one ? one.key : one.requestId,
      message: `was in flight on router "${one.router}" at a planned stop and failed`,
    }));
};

/** Checks leaving hosts and planned stops. */
export const checkLeaving = (record: RunRecord): Violation[] => [
  ...checkNewWork(record),
  ...record.plannedStops.flatMap((stop) => checkStop(record, stop)),
];
