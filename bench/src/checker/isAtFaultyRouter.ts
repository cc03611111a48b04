/** Whether a caller's router was dead or paused meanwhile. */

import type {
  CallerAnswer,
  CallerCall,
  RouterFault,
  RunRecord,
} from "./types.js";

const overlaps = (
  { router, from, until }: RouterFault,
  one: CallerAnswer | CallerCall,
): boolean =>
  router === one.router && from <= one.endedAt && until >= one.askedAt;

/** True where the router was killed while the caller waited. */
export const isAtKilledRouter = (
  { routerFaults }: RunRecord,
  one: CallerAnswer | CallerCall,
): boolean =>
  routerFaults.some((fault) => fault.type === "killed" && overlaps(fault, one));

/** True where a fault of the router overlaps the caller's wait. */
export const isAtFaultyRouter = (
  { routerFaults }: RunRecord,
  one: CallerAnswer | CallerCall,
): boolean => routerFaults.some((fault) => overlaps(fault, one));
