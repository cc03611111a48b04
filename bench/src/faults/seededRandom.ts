/** Deterministic random integers from a seed. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";

const discardedDrawCount = 16; // consecutive seeds give similar first values

/** Seeded generator of random integers; holds the generator state. */
export class SeededRandom {
  private constructor(private state: RandomState) {}

  static create(seed: number): SeededRandom {
    const random = new SeededRandom(seedRandom(seed));
    for (let drawn = 0; drawn < discardedDrawCount; drawn += 1)
      random.nextInteger(1);
    return random;
  }

  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  nextInteger(bound: number): number {
    const drawn = nextRandom(this.state);
    this.state = drawn.state;
    return Math.floor(drawn.value * bound);
  }
}
