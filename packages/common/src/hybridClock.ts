/** Hybrid logical clock whose text readings sort in causal order. */

import type { Timestamp } from "./types.js";

/** Clock state: wall time in milliseconds, logical counter and process name. */
export interface HybridClock {
  readonly wall: Timestamp;
  readonly counter: number;
  readonly process: string;
}

const wallDigits = 13;
const counterDigits = 6;
const counterLimit = 10 ** counterDigits;
const maxClockAheadMs = 3_600_000;
const readingPattern = /^(\d{13})-(\d{6})-/;

// Readings have a fixed width, so an overflowing counter advances the wall time by 1 ms.
const carryCounter = (clock: HybridClock): HybridClock =>
  clock.counter < counterLimit
    ? clock
    : { ...clock, wall: clock.wall + 1, counter: 0 };

/** Initial clock state of a process. */
export const createHybridClock = (process: string): HybridClock => ({
  wall: 0,
  counter: 0,
  process,
});

/** Advances the clock for a local event. */
export const tickHybridClock = (
  clock: HybridClock,
  now: Timestamp,
): HybridClock => {
  const wall = Math.max(clock.wall, Math.floor(now));
  const counter = wall === clock.wall ? clock.counter + 1 : 0;
  return carryCounter({ ...clock, wall, counter });
};

/** Formats a reading as fixed-width text, `wall-counter-process`. */
export const formatHybridClock = (clock: HybridClock): string => {
  const wall = String(clock.wall).padStart(wallDigits, "0");
  const counter = String(clock.counter).padStart(counterDigits, "0");
  return `${wall}-${counter}-${clock.process}`;
};

/**
 * Advances the clock past a reading received from another process. A reading that is
 * malformed or more than an hour ahead is ignored, so that a faulty peer cannot
 * push this clock into the future.
 */
export const receiveHybridClock = (
  clock: HybridClock,
  reading: string,
  now: Timestamp,
): HybridClock => {
  const parts = readingPattern.exec(reading);
  if (parts === null) return tickHybridClock(clock, now);
  const wall = Number(parts[1]);
  const counter = Number(parts[2]);
  if (wall > now + maxClockAheadMs) return tickHybridClock(clock, now);
  if (wall < clock.wall || wall < Math.floor(now)) {
    return tickHybridClock(clock, now);
  }
  const next = wall === clock.wall ? Math.max(counter, clock.counter) : counter;
  return carryCounter({ ...clock, wall, counter: next + 1 });
};
