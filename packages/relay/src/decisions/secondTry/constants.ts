/** Times and limits of second tries. */

/** Sliding window of the operators' limit: long, as a router of a large fleet sees a request a second. */
export const shareWindowMs = 60_000;

/** Interval in which events are counted together. */
export const countIntervalMs = 250;

/** Latest answers of each replica and route whose times are remembered. */
export const maxSampleCount = 64;

/** Age beyond which an answer says nothing of the next one. */
export const sampleLifetimeMs = 60_000;

/** Answers of a route below which nothing is known of the next one. */
export const minSampleCount = 30;

/** Weight of the answers that routers tell each other of, below which those say nothing either. */
export const minSharedWeight = 20;

/** Answers of a replica below which its own median says nothing. */
export const minReplicaSampleCount = 3;

/** A replica whose median is above that of the others by this factor is slow: its answers are left out of what is usual. */
export const slowReplicaFactor = 2;

/** Part of the share that goes to answers which are slow by chance; the rest is for slow replicas. */
export const chanceRatio = 0.5;

/** Bounds of the part of the answers that come within the delay. */
export const delayQuantiles = { min: 0.9, max: 0.99 };

/** Interval at which the usual times of a route are worked out. */
export const usualIntervalMs = 250;

/** Interval of the medians that are remembered. */
export const medianIntervalMs = 1000;

/** Medians that are remembered. */
export const maxMedianCount = 60;

/** Medians below which nothing is known of what is usual. */
export const minMedianCount = 5;

/** Age of the answers whose median is compared with the usual one. */
export const currentAnswersAgeMs = 1000;

/** Smallest number of these. */
export const minCurrentAnswerCount = 8;

/** A median above the usual one by this factor shows that requests queue. */
export const risingFactor = 1.5;

/** Smallest rise in milliseconds that does: less is noise of the clock. */
export const minRiseMs = 5;

/** Age of the refusals that count. */
export const refusalWindowMs = 2000;

/** Part of the first sendings of that time that may be refused. */
export const maxRefusedRatio = 0.01;

/** Part of a service's replicas at which slow answers may be out. */
export const maxSlowReplicaRatio = 0.5;

/** Part of a service's replicas that has to be open. */
export const minOpenRatio = 2 / 3;

/** Age beyond which what the store said of the replicas is too old. */
export const maxStoreSilenceMs = 10_000;

/** Part of the shared budget of repeats that second tries leave for lost attempts. */
export const reservedBudgetRatio = 0.5;

/** Time at a replica of another zone as a multiple of that in the own one, for replicas without engines. */
export const crossZoneTimeRatio = 1.12;
