/** Limits of using replicas without their store entries. */

/** Interval at which an address is asked again for a new process. */
export const searchIntervalMs = 1000;

/** Questions about returned replicas that a router sends in a second over time. */
export const probesPerS = 16;

/** Questions that it may send at once: the engines of a zone are back together. */
export const probeBurst = 12;

/**
 * Time over which routers that found a process ask it for its id: the first ones tell
 * the others, and each question takes one of its slots.
 */
export const idSpreadMs = 600;

/** Age up to which what another router told counts. */
export const toldMaxAgeMs = 3000;

/** Silence after which an adopted replica is asked for another report. */
export const confirmAfterMs = 1500;

/** Silence after which it is not used any more. */
export const adoptedMaxSilenceMs = 5000;

/** Routers that are told of a return; each tells as many in turn. */
export const returnFanout = 4;

/** Bounds on what is remembered of other programs. */
export const maxAdoption = { models: 256, told: 1024 } as const;
