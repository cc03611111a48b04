/** Limits on the memory that requests and answers take. */

const bytesPerMiB = 1024 * 1024;

/** Bytes up to which a body or an answer is small: it may use room that large ones leave free. */
export const maxSmallBytes = 64 * 1024;

/** Bytes of one answer beyond which it is not buffered. */
export const maxAnswerBytes = 16 * bytesPerMiB;

/** Bytes of all answers together that are buffered while they arrive. */
export const maxArrivingBytes = 48 * bytesPerMiB;

/** Bytes of large answers among them; the rest is for small ones. */
export const maxLargeArrivingBytes = 40 * bytesPerMiB;

/** Bytes from which what has no known end gives way to what has one: streams hold less. */
export const minEndlessBytes = bytesPerMiB / 4;

/** Parts of the budget that are filled at most when more is taken. */
export const fillLimits = {
  /** Requests that wait, among themselves. */
  waitingRequestsAlone: 1 / 8,
  /** Answers that wait, among themselves. */
  waitingAnswersAlone: 1 / 4,
  /** Requests beside large ones, which wait at once when memory fills. */
  largeRequestsAlone: 3 / 8,
  largeRequest: 4 / 8,
  /** Large requests and answers, and what waits, when a large answer arrives or is left unread. */
  bulkBesideLargeAnswer: 5 / 8,
  /** What is left unread of small answers and streams. */
  smallUnreadAlone: 1 / 8,
  /** What waits for room. */
  waiting: 6 / 8,
  /** Requests, when a small one arrives: a large answer finds room beside them. */
  smallRequestsAlone: 13 / 16,
  smallRequest: 15 / 16,
  largeAnswer: 15 / 16,
  smallAnswer: 1,
  unreadAnswer: 1,
};

/** Time in which a body or an unread answer has to move on, to not count as stalled. */
export const stallMs = 1000;

/** Time without a byte after which room is no longer kept free for the rest of an answer. */
export const idleReservationMs = 250;

/** Bytes of a body that have to arrive in that time. */
export const minProgressBytes = 16 * 1024;

/** Longest time for which a body waits for room. */
export const maxRoomWaitMs = 1000;

/** Bytes that may have arrived of what waits for room: buffers of its socket. */
export const waitingBytes = 128 * 1024;

/** Range of the pause after which a request that found no room may come back. */
export const noRoomRetryAfterMs = { min: 200, max: 1000 };
