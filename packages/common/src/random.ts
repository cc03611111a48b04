/** Seeded random numbers with plain-data state, so that replayed events give the same decisions. */

import prand from "pure-rand";

/** State of a random number generator, as plain data. */
export type RandomState = readonly number[];

/** A random number, uniform in [0, 1), and the generator state after it. */
export interface RandomDraw {
  readonly value: number;
  readonly state: RandomState;
}

const drawRange = 2 ** 32;

/** Creates generator state from a seed. */
export const seedRandom = (seed: number): RandomState =>
  prand.xoroshiro128plus(seed).getState();

/** Returns the next random number and the new state. */
export const nextRandom = (state: RandomState): RandomDraw => {
  const generator = prand.xoroshiro128plus.fromState(state);
  const value = (generator.unsafeNext() >>> 0) / drawRange;
  return { value, state: generator.getState() };
};
