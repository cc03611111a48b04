/** Seeded random numbers kept as plain data, so that decisions replay alike. */

import prand from "pure-rand";

/** State of a generator, plain data. */
export type GeneratorState = readonly number[];

/** A drawn number, uniform in [0, 1), and the state after the draw. */
export interface Draw {
  readonly value: number;
  readonly state: GeneratorState;
}

const drawRange = 2 ** 32;

/** State of a generator made from a seed. */
export const seedGenerator = (seed: number): GeneratorState =>
  prand.xoroshiro128plus(seed).getState();

/** Draws the next number. */
export const draw = (state: GeneratorState): Draw => {
  const generator = prand.xoroshiro128plus.fromState(state);
  const value = (generator.unsafeNext() >>> 0) / drawRange;
  return { value, state: generator.getState() };
};
