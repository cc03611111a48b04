/** Timeouts, limits and cost weights of the relay's decisions. */

/** Interval between timer ticks. */
export const tickIntervalMs = 25;

/** Delay of a timer tick beyond which this process is considered to have been stalled. */
export const stallThresholdMs = 200;

/**
 * Silence after which an engine is probed: longer than the gap between two
 * events while the engine also prefills a prompt.
 */
export const probeAfterSilenceMs = 260;

/** Time within which a healthy replica answers a probe, including a round trip between zones. */
export const probeTimeoutMs = 150;

/** Time for which the end of an answer waits for its replica: a probe and some turns of the loop. */
export const endConfirmationTimeoutMs = 2 * probeTimeoutMs;

/** How long a replica is suspected after a lost attempt: about the duration of a restart. */
export const suspicionMs = 1300;

/** Lost attempts in one zone within this time are treated as one failure of the zone. */
export const correlatedLossWindowMs = 400;

/** Number of replicas with lost attempts at which their whole zone is suspected. */
export const correlatedLossCount = 2;

/**
 * Silence of one stream, at an engine that answers probes, after which its
 * connection is considered dead.
 */
export const deadConnectionSilenceMs = 1500;

/**
 * Number of events that an engine generated and that did not arrive, at which a
 * connection is considered dead.
 */
export const missingEventCount = 3;

/**
 * Silence of a stream after which the event count in the engine's report
 * decides whether the connection is dead.
 */
export const missingEventSilenceMs = 450;

/**
 * An idempotent request is retried at another replica after this multiple of
 * its target latency.
 */
export const attemptTimeoutTargetFactor = 2;

/** Bytes of a large request or answer whose way is noted as progress; smaller ones are one part. */
export const progressBytes = 64 * 1024;

/** Minimum wait before an idempotent request is retried at another replica. */
export const minAttemptTimeoutMs = 300;

/**
 * Time after a replica starts to drain at which its streams migrate, as a
 * fraction of the drain timeout.
 */
export const migrateAfterDrainRatio = 0.4;

/**
 * Age at which a requested KV cache copy is requested again: engines evict it
 * after some seconds.
 */
export const copyRefreshAfterMs = 2500;

/** Time in which an outcome loses half of its weight. */
export const outcomeHalfLifeMs = 3000;

/** Interval at which a router tells others how its attempts ended. */
export const outcomeShareIntervalMs = 400;

/** Outcomes of one message that count: a router that tells more cannot outweigh the others. */
export const maxSharedOutcomeCount = 20;

/**
 * Part of a failure rate above its service's average that moves no request:
 * routers that share outcomes would all send theirs to the luckiest replica.
 */
export const toleratedExcessFailureRate = 0.1;

/** Number of outcomes that the average of the service counts for in a replica's failure rate. */
export const priorOutcomeCount = 3;

/**
 * Minimum number of routers assumed to share the fleet-wide retry budget while
 * this router has no entry in the store.
 */
export const minAssumedRouterCount = 8;

/** Number of engines whose load reports are requested before a request is sent. */
export const loadQueryEngineCount = 4;

/** Time that a request waits for load reports: a round trip between zones and a handshake. */
export const loadQueryTimeoutMs = 50;

/**
 * Number of engines in each zone that are asked for the prompt blocks of a
 * reconnecting caller: covers every engine at which another router may have
 * placed the prompt or its copies.
 */
export const promptQueryEnginesPerZoneCount = 4;

/**
 * Time after the start of this process within which any caller may be
 * reconnecting after a router failure.
 */
export const reconnectWindowMs = 6000;

/** Time that a reconnecting caller's request waits for the lists of prompt blocks. */
export const promptQueryTimeoutMs = 120;

/** Age up to which a list of prompt blocks is used without a new request. */
export const promptBlocksFreshMs = 1000;

/**
 * Age up to which a load report is used without a new request; reports lag by
 * some hundred milliseconds anyway.
 */
export const reportFreshMs = 60;

/** Age beyond which a load report is ignored as stale. */
export const reportMaxAgeMs = 400;

/** Delay before a KV cache copy is requested again after a refusal. */
export const copyRetryMs = 400;

/**
 * Cost of a fully occupied replica without an engine; scales with the occupied
 * share of its slots.
 */
export const slotCost = 1;

/** Cost of another zone for a replica without an engine, as a fraction of its slots. */
export const plainCrossZoneCost = 0.12;

/** Cost of an excess failure rate of 1, as a multiple of a replica's slots. */
export const failureRateCost = 3;

/**
 * Range of the random part of a cost, so that routers with the same data choose
 * different replicas.
 */
export const costJitter = 0.1;

/** Range of the retry-after delay sent to refused callers. */
export const retryAfterRangeMs = { min: 100, max: 400 };

/** Range of the retry-after delay sent while this process has no configuration. */
export const unconfiguredRetryAfterRangeMs = { min: 300, max: 900 };

/** Replicas to which one request may fail to connect: each may take the whole time for a connection. */
export const maxFailedConnectionCount = 6;

/** Number of routers that are asked to lend a retry in one round. */
export const lenderCount = 2;

/** Time that a request waits for a lent retry in each round: some round trips between zones. */
export const borrowTimeoutMs = 40;

/** Maximum number of borrowing rounds before a request fails. */
export const maxBorrowRoundCount = 4;

/** Interval at which a stream that no router lends a retry looks at its own router's budget. */
export const budgetCheckIntervalMs = 250;

/** Lifetime of a lent retry; the lender counts it against its own budget for that much longer. */
export const lentRetryLifetimeMs = 1000;

/**
 * Lifetime of a router's entry: a stopped router counts until it expires, which
 * only makes the other routers' shares of the budget smaller.
 */
export const registrationTtlMs = 600_000;

/** Interval between renewals of an entry: two may fail before the entry expires. */
export const registrationRenewIntervalMs = 200_000;

/** Time after which an entry that did not appear in the store is written again. */
export const registrationRetryMs = 5000;

/**
 * Maximum random delay of the first write of an entry, so that a fleet that
 * starts at once does not exceed the store's rate limit.
 */
export const registrationJitterMs = 2000;

/** Routers of the fleet that write their entries again in a second: a restored store may lack all of them. */
export const registrationsPerS = 50;

/** Time after a store outage within which live replicas register again. */
export const replicaReregistrationMs = 2200;

/**
 * Time after the store came back from a copy within which replicas that left
 * write so again: what it shows of them until then may be outdated.
 */
export const outdatedReplicaMs = 10_000;

/** How long the last report of a replica that left is remembered: longer than a copy is old. */
export const departedReplicaRetentionMs = 600_000;

/** Most replicas that left whose last report is remembered. */
export const maxDepartedReplicaCount = 2048;

/** Unused requests of a replica's limit that all routers together may keep for later, as a time. */
export const limitBurstMs = 1000;

/** Smallest limit of a replica, in requests a second; one of 0 could never be seen to rise. */
export const minRequestLimitPerS = 0.1;

/** Turns that a stream may be ahead of a replica's limit to resume at its KV cache copy. */
export const maxPermitDebt = 1;

/** Part of the target latency that a request waits for its permit at a replica. */
export const permitWaitRatio = 0.25;

/** Prompt blocks in a log line; bounds its length. */
export const maxLoggedPromptBlockCount = 8;
