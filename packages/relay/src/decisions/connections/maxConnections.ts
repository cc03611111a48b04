/**
 * Decides how many of the process's descriptors callers may take. Load pattern: callers that
 * open connections without end and send nothing, or stop in the middle.
 */

const fileDescriptors = 200; // of the machine's limit, which the platform keeps for files
const callerRatio = 7 / 8; // of the others; the rest is for replicas, routers and the store

/** Returns how many connections callers may hold, with so many descriptors; infinity if their number is not known. */
export const maxConnectionsOf = (maxDescriptors = Infinity): number =>
  Math.max(1, Math.floor(callerRatio * (maxDescriptors - fileDescriptors)));
