/** Times and bounds of membership. */

/** Interval of heartbeats. */
export const gossipEveryMs = 500;

/** Linked routers that get a heartbeat at each interval. */
export const fanOut = 2;

/** Records in one heartbeat. */
export const recordsPerMessage = 8;

/** Records in one repair of differing tables. */
export const recordsPerRepair = 24;

/** Interval between two repairs that one router sends. */
export const repairEveryMs = 1000;

/** Customers' demands in one heartbeat. */
export const demandsPerMessage = 24;

/** Factor on the logarithm of the fleet's size: times that news is sent. */
export const spreadFactor = 3;

/** Routers asked to probe a silent one. */
export const relays = 3;

/** Least time that a probe waits for its acknowledgement. */
export const leastProbeMs = 400;

/** Round trips that a probe waits for its acknowledgement. */
export const roundTripsPerProbe = 6;

/** Time for the probes of other routers. */
export const relayedProbeMs = 1000;

/** Suspicion of a router confirmed by others, in a fleet of ten. */
export const leastSuspicionMs = 1500;

/** Factor on the least suspicion where nobody confirms it. */
export const suspicionRange = 3;

/** Confirmations after which suspicion lasts the least time. */
export const confirmations = 3;

/** A longer gap between two ticks means that this process was paused. */
export const pauseMs = 750;

/** Time for which dead routers and routers that left are remembered. */
export const rememberMs = 600_000;

/** Interval of the choice of neighbours and of dials of dead routers. */
export const reviewEveryMs = 3000;

/** Links that a router keeps in its zone, its region and elsewhere. */
export const neighboursWanted = { zone: 3, region: 3, elsewhere: 2 };
