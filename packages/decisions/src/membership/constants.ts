/** Intervals, timeouts and limits of the membership protocol. */

/** Interval between heartbeats, before jitter. */
export const gossipIntervalMs = 500;

/** Number of connected routers that get a heartbeat at each interval. */
export const gossipFanOut = 2;

/** Maximum number of updated member records in one heartbeat. */
export const recordsPerHeartbeat = 8;

/** Maximum number of member records in one anti-entropy message, sent where tables differ. */
export const recordsPerSync = 24;

/** Minimum interval between two anti-entropy messages of one router. */
export const syncIntervalMs = 1000;

/** Maximum number of customers' demands in one heartbeat. */
export const demandsPerHeartbeat = 24;

/** Number of sends of each update, as a multiple of the base-2 logarithm of the fleet size. */
export const retransmitFactor = 3;

/** Number of routers asked to probe a router that did not acknowledge (indirect probes). */
export const indirectProbeCount = 3;

/** Minimum timeout of a direct probe. */
export const minProbeTimeoutMs = 400;

/** Timeout of a direct probe in smoothed round-trip times. */
export const probeTimeoutRoundTripCount = 6;

/** Timeout of indirect probes. */
export const indirectProbeTimeoutMs = 1000;

/** Suspicion timeout of a router that enough others suspect too, in a fleet of ten. */
export const minSuspicionTimeoutMs = 1500;

/** Factor on the minimum suspicion timeout while no other router confirms the suspicion. */
export const maxSuspicionFactor = 3;

/** Number of confirmations at which the suspicion timeout reaches its minimum. */
export const confirmationCountForMinSuspicion = 3;

/** A longer gap between two timer ticks means that this process was paused. */
export const pauseThresholdMs = 750;

/** Retention period of dead routers and of routers that left. */
export const departedRetentionMs = 600_000;

/** Interval at which neighbours are chosen and a dead router is dialed again. */
export const neighbourUpdateIntervalMs = 3000;

/** Number of neighbours in the router's own zone, in its region's other zones and in other regions. */
export const neighbourCounts = { zone: 3, region: 3, elsewhere: 2 };
