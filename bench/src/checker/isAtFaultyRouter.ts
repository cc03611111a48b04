/** Checks whether a router was killed or paused while it handled a request. */

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
  router === one.router && from <= one.endedAt && until >= one.sentAt;

/** Whether the router was killed while the caller waited. */
export const isAtKilledRouter = (
  { routerFaults }: RunRecord,
  one: CallerAnswer | CallerCall,
): boolean =>
  routerFaults.some((fault) => fault.type === "killed" && overlaps(fault, one));

/** Whether the router was killed or paused while the caller waited. */
export const isAtFaultyRouter = (
  { routerFaults }: RunRecord,
  one: CallerAnswer | CallerCall,
): boolean => routerFaults.some((fault) => overlaps(fault, one));
