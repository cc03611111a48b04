/** Times, limits and weights of the relay's decisions. */

/** Time between two ticks. */
export const tickIntervalMs = 25;

/** A tick this late means that the process itself stood still. */
export const stallThresholdMs = 200;

/** Silence of an engine after which it is probed: longer than one event takes beside a prompt. */
export const probeAfterSilenceMs = 260;

/** Time in which a living replica answers a probe, a round trip between zones included. */
export const probeTimeoutMs = 150;

/** How long a replica is avoided after a loss: about the time of a restart. */
export const suspicionMs = 1300;

/** Losses within this time at one zone are taken as one event. */
export const correlatedLossWindowMs = 400;

/** Losses of different replicas that put their whole zone in doubt. */
export const correlatedLossCount = 2;

/** Silence of one stream at an engine that answers: its connection is then taken as dead. */
export const deadConnectionSilenceMs = 1500;

/** Events that an engine made and that did not arrive, after which a connection is taken as dead. */
export const missingEventCount = 3;

/** Silence of a stream before its engine's event count is believed over the connection. */
export const missingEventSilenceMs = 450;

/** A repeatable request waits this many times its target latency before it is sent elsewhere. */
export const attemptTimeoutTargetFactor = 2;

/** Shortest wait before a repeatable request is sent elsewhere. */
export const minAttemptTimeoutMs = 300;

/** Time after a replica's leaving is seen at which streams move off it, as a share of the drain timeout. */
export const migrateAfterDrainRatio = 0.4;

/** Time after which a copy that was asked for is asked for again: engines drop it after some seconds. */
export const copyRefreshAfterMs = 2500;

/** Weight of the newest answer in a replica's share of failures. */
export const failureRateSmoothing = 1 / 8;

/** Routers assumed at least to share the fleet's bounds, as long as the own entry is not in the store. */
export const minAssumedRouterCount = 8;

/** Engines whose reports are read before a prompt is placed. */
export const loadQueryEngineCount = 4;

/** Time that a request waits for those reports: a round trip between zones and a handshake. */
export const loadQueryTimeoutMs = 50;

/** Engines of each zone that are asked for the prompt of a caller that comes back: all that a router may have placed it at, and its copies. */
export const promptQueryEnginesPerZoneCount = 4;

/** Time after this process's start in which any caller may be one that comes back. */
export const reconnectWindowMs = 6000;

/** Time that such a caller waits for their lists. */
export const promptQueryTimeoutMs = 120;

/** Age at which a list of parts is still used without asking again. */
export const promptBlocksFreshMs = 1000;

/** Age at which a report is still used without asking again; reports lag some hundred milliseconds anyway. */
export const reportFreshMs = 60;

/** Age at which a report says nothing about an engine's load any more. */
export const reportMaxAgeMs = 400;

/** Time after which a copy that was refused is asked for again. */
export const copyRetryMs = 400;

/** Cost of a prompt being read at an engine, in prompts. */
export const prefillCost = 1;

/** Cost of a stream that runs at an engine, in prompts. */
export const decodeCost = 0.3;

/** Cost of another zone, in prompts. */
export const engineCrossZoneCost = 0.15;

/** Cost of a request in flight at a plain replica, as a share of its slots. */
export const slotCost = 1;

/** Cost of another zone for a plain request, as a share of a replica's slots. */
export const plainCrossZoneCost = 0.12;

/** Cost of a share of failures of 1, as a share of a replica's slots. */
export const failureRateCost = 3;

/** Width of the random part of a cost, so that routers with the same news differ. */
export const costJitter = 0.1;

/** Shortest and longest pause that a refused caller is told to make. */
export const retryAfterRangeMs = { min: 100, max: 400 };

/** Pause told to callers while this process does not know its configuration. */
export const unconfiguredRetryAfterRangeMs = { min: 300, max: 900 };

/** Routers that are asked for a repeat at once. */
export const lenderCount = 2;

/** Time that a request waits for them: some round trips between zones. */
export const borrowTimeoutMs = 40;

/** Rounds of questions before a request is given up. */
export const maxBorrowRoundCount = 4;

/** Time in which a lent repeat may be sent; the lender counts it that much longer. */
export const lentRetryLifetimeMs = 1000;

/** Life of a router's entry: a router that is gone counts until then, which only makes the others' shares smaller. */
export const registrationTtlMs = 600_000;

/** Time between renewals of an entry: two may fail before it lapses. */
export const registrationRenewIntervalMs = 200_000;

/** Time after which an entry that has not appeared is written again. */
export const registrationRetryMs = 5000;

/** Width of the random delay of a first entry, so that a fleet that starts at once does not exceed the store's rate. */
export const registrationJitterMs = 2000;

/** Time after the store's return in which living replicas register again. */
export const replicaReregistrationMs = 2200;
