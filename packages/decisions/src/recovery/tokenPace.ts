/** Token times of streams and engines, and how long a silence may last. */

import type { Moment } from "@cardamomglade/common";

/** Smoothed time between two tokens. */
export interface TokenPace {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly count: number;
}

/** What one router saw of an engine's token times; changed in place by the router. */
export interface EnginePace {
  betweenTokens: TokenPace;
  firstToken: TokenPace;
  lastHeardAt: Moment;
}

const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviations = 6;
const fewestGaps = 4;

/** Bounds of a silence limit. */
interface LimitBounds {
  readonly floorMs: number;
  readonly ceilingMs: number;
}

// A silent stream has to go on within 3 s, the resume included.
const betweenTokensBounds: LimitBounds = { floorMs: 500, ceilingMs: 1500 };
const resumedTokenBounds: LimitBounds = { floorMs: 800, ceilingMs: 1500 };
const firstTokenBounds: LimitBounds = { floorMs: 1200, ceilingMs: 30_000 };
const unknownFirstTokenMs = 2000;
/** How long an attempt that was silent before may be silent again after its back end was found alive. */
export const probedLimitMs = 800;

const queueAllowance = 4;
const engineSilenceMs = 1500;

/** A pace without any observation. */
export const unknownPace: TokenPace = { meanMs: 0, deviationMs: 0, count: 0 };

/** An engine that was not heard yet. */
export const createEnginePace = (at: Moment): EnginePace => ({
  betweenTokens: unknownPace,
  firstToken: unknownPace,
  lastHeardAt: at,
});

/** The pace with one more observed gap. */
export const observeGap = (pace: TokenPace, gapMs: number): TokenPace => {
  const count = pace.count + 1;
  if (pace.count === 0) {
    return { meanMs: gapMs, deviationMs: gapMs / 2, count };
  }
  const error = Math.abs(gapMs - pace.meanMs);
  return {
    meanMs: pace.meanMs + meanWeight * (gapMs - pace.meanMs),
    deviationMs:
      pace.deviationMs + deviationWeight * (error - pace.deviationMs),
    count,
  };
};

const usualLongest = (pace: TokenPace | undefined): number =>
  pace === undefined || pace.count < fewestGaps
    ? 0
    : pace.meanMs + deviations * pace.deviationMs;

const clamp = (value: number, { floorMs, ceilingMs }: LimitBounds): number =>
  Math.min(ceilingMs, Math.max(floorMs, value));

/** How long a stream that has begun may be silent between two tokens. */
export const betweenTokensLimit = (
  own: TokenPace,
  engine: EnginePace | undefined,
): number =>
  clamp(
    Math.max(usualLongest(own), usualLongest(engine?.betweenTokens)),
    betweenTokensBounds,
  );

/** How long the first token of a continuation may take. */
export const resumedTokenLimit = (engine: EnginePace | undefined): number =>
  clamp(usualLongest(engine?.firstToken), resumedTokenBounds);

/** How long the first token of a new answer may take: long while a living engine may still queue it. */
export const firstTokenLimit = (
  engine: EnginePace | undefined,
  at: Moment,
): number => {
  if (engine === undefined || engine.firstToken.count === 0)
    return unknownFirstTokenMs;
  const isSpeaking = at - engine.lastHeardAt < engineSilenceMs;
  const usual = usualLongest(engine.firstToken) || engine.firstToken.meanMs;
  const allowance = isSpeaking ? queueAllowance * usual : usual;
  return isSpeaking
    ? Math.max(unknownFirstTokenMs, clamp(allowance, firstTokenBounds))
    : clamp(allowance, { ...firstTokenBounds, ceilingMs: unknownFirstTokenMs });
};
