/** Limits of shared watches. */

/** Minimum number of routers in an availability zone at which their watches are shared. */
export const minZoneRouterCount = 4;

/** Routers of an availability zone that may be followed: one, and another if it fails. */
export const watcherCandidateCount = 2;

/** How long a router that failed to share its watch is avoided. */
export const routerAvoidanceMs = 5000;

/**
 * Time within which routers of the same zone accept a connection and send a recent
 * confirmation; for all that are tried in turn.
 */
export const followTimeoutMs = 400;

/** Least part of that time in which a router is tried. */
export const minFollowTimeoutMs = 100;

/** Fraction of the maximum age that a first confirmation may have: an older one would soon be too old. */
export const recentAgeRatio = 0.7;

/** Length of a value beyond which a follower reads it from the store: routers' links are slow. */
export const maxSharedValueLength = 32 * 1024;

/** Number of changes that a router keeps for followers. */
export const maxHistoryChangeCount = 4000;

/** Number of gaps in the watched history over which a router takes its followers. */
export const maxHistorySpanCount = 16;

/** How long routers count whose entries a restored store lacks: the fleet writes them again within that time. */
export const missingRouterRetentionMs = 30_000;

/** Bytes of a message above which the connection is closed. */
export const maxMessageBytes = 8 * 1024 * 1024;

/** Bytes that a follower may leave unread before its connection is closed. */
export const maxUnreadBytes = 4 * 1024 * 1024;

/** Deadline of reading one long value from the store, from the time of its change. */
export const valueReadTimeoutMs = 1000;

/** Interval between two messages to a follower while the time limits rule out sharing. */
export const defaultHeartbeatMs = 1000;

/** Classes of work of one replica whose times are told in one message. */
export const maxTalliedClassCount = 8;
