/** Times and bounds of roll-outs. */

import type { RolloutLimits } from "./types.js";

/** Limits of a deployment whose settings name none. */
export const defaultRolloutLimits: RolloutLimits = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackTimeoutMs: 5000,
};

/** Part of the allowed share that a version gets while it is judged; the rest is for the move. */
export const exposingPart = 0.3;

/** Part of the allowed share up to which it gets requests before it is completed; the rest is for the time from then to the deadline. */
export const movingPart = 0.5;

/** Part of the slack that is spent while the version is judged, for evidence in small services. */
export const exposingSlackPart = 0.4;

/** Part of the slack up to which it is spent by the move. */
export const movingSlackPart = 0.8;

/** Length of the move as a part of the roll-out, for each unit of the allowed share. */
export const moveSharePart = 0.7;

/** Part of the slack by whose requests the move is longer. */
export const moveSlackPart = 0.65;

/** Longest part of a roll-out that is left for the move: the rest shows how the version does. */
export const maxMoveRatio = 0.3;

/** Part of a roll-out, and its bounds, by which it is completed before its deadline: other routers may have to write it. */
export const completionMargin = { ratio: 0.05, minMs: 500, maxMs: 1500 };

/** Part of that margin for which the completion waits for work at old replicas. */
export const completionWaitRatio = 0.25;

/** Part of the time for which an order may have been unread, and of the roll-out at most, by which it is completed earlier: the allowance has no room for more. */
export const unreadCompletion = { part: 1 / 3, maxRatio: 0.0075 };

/** Least time from the move to the completion, for routers to follow and short requests to end. */
export const minMoveMs = 300;

/** Offset between the times at which routers write the same phase: longer than a watch takes to show it. */
export const phaseWriteSpacingMs = 200;

/** Time after which a write that did not show is tried again: a second one does no harm. */
export const phaseWriteRetryMs = 300;

/** Time within which the watch shows what this router wrote. */
export const ownWriteShownMs = 3000;

/** Time for which all routers, not only those that judge, are told of a new phase. */
export const phaseToldMs = 1500;

/** Least interval between the reports of a router. */
export const minReportIntervalMs = 250;

/** Reports a second that a router which judges gets from all others together. */
export const maxReportsPerS = 200;

/** Number of routers that get all reports. */
export const judgeCount = 3;

/** Number of routers that are told of a fault or a new phase with each report. */
export const newsFanout = 6;

/** Time for which a fault is told. */
export const faultToldMs = 10_000;

/** Age up to which another router's requests at old replicas count as still there. */
export const otherReportFreshMs = 1500;

/** Interval between tests. */
export const testIntervalMs = 100;

/** Time in which an answer of the old version loses half of its weight. */
export const oldHalfLifeMs = 3000;

/** Rate of bad answers that is assumed before the old version has answered, and the answers that it counts for. */
export const assumedBad = { rate: 0.02, answers: 25 };

/** Bounds of the old version's rate, so that the test stays defined. */
export const badRateBounds = { min: 0.004, max: 0.7 };

/** A version is bad if its rate of bad answers is that many times as high as the old one's. */
export const badRateFactor = 2.5;

/** Bounds of the difference between the two rates: answers of an overloaded host are often late anyway. */
export const badRateIncrease = { min: 0.12, max: 0.2 };

/** Evidence, a log likelihood ratio, at which a version is bad: three bad answers in a row reach it if the old version has none. */
export const badEvidence = 9.5;

/** Evidence that leaves a version in doubt: it is completed only some time after its deadline. */
export const doubtfulEvidence = 5;

/** Time from the deadline to the completion of a version in doubt. */
export const doubtfulCompletionDelayMs = 1500;

/** Bad answers beyond the old version's rate at which a version is bad whatever the test says. */
export const maxExcessBad = 30;

/** An answer is slow if it takes this multiple of the median of the old version's. */
export const slowFactor = 3;

/** Milliseconds added to that: times of short answers vary by some. */
export const slowMarginMs = 10;

/** Times of the old version's answers that are kept. */
export const keptTimeCount = 40;

/** Least number of them from which a median is taken. */
export const minTimeCount = 12;

/** Broken answers of one process within this time are one fault: it ended. */
export const brokenTogetherMs = 1000;

/** Time for which old replicas get no new work after a completion that this router saw. */
export const completedHoldMs = 10_000;

/** Time for which the version of a withdrawn order gets no new work. */
export const withdrawnHoldMs = 60_000;

/** Bounds on what other programs name. */
export const maxRollouts = {
  services: 64,
  routes: 64,
  sources: 1024,
  mistrusted: 8,
  faultLength: 200,
} as const;
