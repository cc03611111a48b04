/** Limits and intervals of the line of requests that wait for room. */

/** Requests of one service that wait at one router at most; more are sent without a wait. */
export const maxWaitingCount = 64;

/** Mean interval between the looks of a waiting request that is most urgent: reports are that old. */
export const urgentLookIntervalMs = 200;

/** Mean interval of less urgent ones: many that look often all find the same room within the age of a report. */
export const lookIntervalMs = 500;

/** Engines that less urgent ones look at, for the same reason. */
export const lookEngineCount = 2;

/** Reading times of its prompt that a request keeps of its target latency: its own, and that of one before it. */
export const keptReadingTimeCount = 2;

/** Places that a less urgent request leaves free at an engine for more urgent ones. */
export const reservedPlaceCount = 1;

/** Engines that a log line names; bounds its length. */
export const maxLoggedRoomCount = 8;
