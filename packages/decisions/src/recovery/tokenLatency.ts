/** Token latency estimates of streams and engines, and the silence timeouts derived from them. */

import type { Timestamp } from "@cardamomglade/common";

/** Smoothed mean and mean deviation of a token latency. */
export interface LatencyEstimate {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly count: number;
}

/** Token latencies of one engine as observed by one router; mutated in place by the router. */
export interface EngineLatency {
  interToken: LatencyEstimate;
  firstToken: LatencyEstimate;
  lastTokenAt: Timestamp;
}

const meanSmoothing = 1 / 8;
const deviationSmoothing = 1 / 4;
const deviationFactor = 6;
const minSampleCount = 4;

/** Lower and upper bound of a silence timeout. */
interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
}

// A silent stream must continue within 3 s, including detection and resume on another back end.
const interTokenTimeoutBounds: TimeoutBounds = { minMs: 500, maxMs: 1500 };
const resumedFirstTokenTimeoutBounds: TimeoutBounds = {
  minMs: 800,
  maxMs: 1500,
};
const firstTokenTimeoutBounds: TimeoutBounds = { minMs: 1200, maxMs: 30_000 };
const defaultFirstTokenTimeoutMs = 2000;
/** Silence timeout of an attempt that was silent before and whose back end answered a probe. */
export const probedSilenceTimeoutMs = 800;

const queueingFactor = 4;
const engineActiveWindowMs = 1500;

/** Estimate without any sample. */
export const emptyLatencyEstimate: LatencyEstimate = {
  meanMs: 0,
  deviationMs: 0,
  count: 0,
};

/** Latencies of an engine that has sent no tokens yet. */
export const createEngineLatency = (at: Timestamp): EngineLatency => ({
  interToken: emptyLatencyEstimate,
  firstToken: emptyLatencyEstimate,
  lastTokenAt: at,
});

/** Returns the estimate updated with one more sample. */
export const addLatencySample = (
  estimate: LatencyEstimate,
  sampleMs: number,
): LatencyEstimate => {
  const count = estimate.count + 1;
  if (estimate.count === 0) {
    return { meanMs: sampleMs, deviationMs: sampleMs / 2, count };
  }
  const error = Math.abs(sampleMs - estimate.meanMs);
  return {
    meanMs: estimate.meanMs + meanSmoothing * (sampleMs - estimate.meanMs),
    deviationMs:
      estimate.deviationMs +
      deviationSmoothing * (error - estimate.deviationMs),
    count,
  };
};

const upperBoundMsOf = (estimate: LatencyEstimate | undefined): number =>
  estimate === undefined || estimate.count < minSampleCount
    ? 0
    : estimate.meanMs + deviationFactor * estimate.deviationMs;

const clamp = (value: number, { minMs, maxMs }: TimeoutBounds): number =>
  Math.min(maxMs, Math.max(minMs, value));

/** Maximum time between two tokens of an attempt. */
export const interTokenTimeoutMsOf = (
  streamLatency: LatencyEstimate,
  engine: EngineLatency | undefined,
): number =>
  clamp(
    Math.max(upperBoundMsOf(streamLatency), upperBoundMsOf(engine?.interToken)),
    interTokenTimeoutBounds,
  );

/** Maximum time to the first token of an attempt that continues a stream. */
export const resumedFirstTokenTimeoutMsOf = (
  engine: EngineLatency | undefined,
): number =>
  clamp(upperBoundMsOf(engine?.firstToken), resumedFirstTokenTimeoutBounds);

/** Maximum time to the first token of a new answer; longer if the engine is active, because it may still have the request in its queue. */
export const firstTokenTimeoutMsOf = (
  engine: EngineLatency | undefined,
  at: Timestamp,
): number => {
  if (engine === undefined || engine.firstToken.count === 0)
    return defaultFirstTokenTimeoutMs;
  const isActive = at - engine.lastTokenAt < engineActiveWindowMs;
  const upperBoundMs =
    upperBoundMsOf(engine.firstToken) || engine.firstToken.meanMs;
  const allowedMs = isActive ? queueingFactor * upperBoundMs : upperBoundMs;
  return isActive
    ? Math.max(
        defaultFirstTokenTimeoutMs,
        clamp(allowedMs, firstTokenTimeoutBounds),
      )
    : clamp(allowedMs, {
        ...firstTokenTimeoutBounds,
        maxMs: defaultFirstTokenTimeoutMs,
      });
};
