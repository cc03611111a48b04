/** Bounds of callers that send slowly. */

/** Time in which a body has to move some bytes; one that does not gives way first. */
export const stallMs = 1000;

/** Bytes that it has to move in that time. */
export const minProgressBytes = 16 * 1024;

/** Interval at which Node looks for overdue heads and requests. */
export const overdueCheckIntervalMs = 1000;

/** Seconds after which a caller that found no room may come again. */
export const noRoomRetryS = 1;
