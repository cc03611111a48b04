/**
 * Decides how many of the process's descriptors callers and routers may take. Load pattern:
 * others open connections without end and send nothing, or stop in the middle.
 */

import { maxTakenOverCount } from "../handover/constants.js";

const fileDescriptors = 200; // of the machine's limit, which the platform keeps for files
const callerRatio = 7 / 8; // of the others; the rest is for replicas, routers and the store
const routerRatio = 1 / 16;
const maxRouterCount = 2 * maxTakenOverCount; // they are refused in words before they are closed

/** Returns how many connections callers may hold, with so many descriptors; infinity if their number is not known. */
export const maxConnectionsOf = (maxDescriptors = Infinity): number =>
  Math.max(1, Math.floor(callerRatio * (maxDescriptors - fileDescriptors)));

/** Returns how many connections routers that hand requests on may hold, with so many descriptors. */
export const maxRouterConnectionsOf = (maxDescriptors = Infinity): number => {
  const count = Math.floor(routerRatio * (maxDescriptors - fileDescriptors));
  return Math.min(maxRouterCount, Math.max(1, count));
};
