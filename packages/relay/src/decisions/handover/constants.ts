/** Times and bounds of handing requests on. */

/** Routers of the own zone, and of the others, that are asked for offers at once. */
export const askedRouterCount = 3;

/** Interval at which routers are asked while a path is lost. */
export const offerAskIntervalMs = 300;

/** The same while a request waits for an offer: some round trips between zones. */
export const urgentAskIntervalMs = 60;

/** Time for which an offer holds: some questions may be lost. */
export const offerLifetimeMs = 1000;

/** Part of the target latency that a request waits for an offer. */
export const offerWaitRatio = 0.25;

/** Time since a path was lost within which requests wait all the same: routers that were cut too find out by then. */
export const offerSettlingMs = 1000;

/** Times that one request is handed on. */
export const maxHandoverCount = 8;

/** Time after which a stream that has begun is handed on again when a router refused it: replicas that are full have room again by then. */
export const refusedStreamRetryMs = 250;

/** Requests of others that a router serves at once: a bound on connections and memory. */
export const maxTakenOverCount = 128;

/** Bytes of their bodies that it holds at once. */
export const maxTakenOverBytes = 16 * 1024 * 1024;

/** Delay of a timer tick beyond which this router is late with its own requests. */
export const busyThresholdMs = 100;

/** Time for which a router that was late takes nothing over. */
export const busyHoldMs = 1000;

/** Silence of a request that was handed on after which the router that serves it is asked whether it runs. */
export const handoverSilenceMs = 260;

/** Interval between these questions. */
export const handoverAskIntervalMs = 100;

/** Silence of that router after which its requests go elsewhere: some questions may be lost. */
export const lostRouterSilenceMs = 500;

/** Runs that a router names with a request that it hands on: one is usual. */
export const maxHandedRunCount = 3;
