/** Times and sizes of connections that end. */

/** Bytes of a request's body that any system takes for a process that reads none of them. */
export const alwaysTakenBytes = 16 * 1024;

/** Time without a byte taken after which the other side takes no more. */
export const untakenMs = 500;

/** Least time between two readings of the system's table, which has a line for each connection. */
export const tableIntervalMs = 10;
