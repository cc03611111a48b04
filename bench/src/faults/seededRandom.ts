/** Whole random numbers from a seed. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";

const discardedDraws = 16; // the first draws of neighbouring seeds are alike

/** Draws whole numbers and keeps the generator's state. */
export class Dice {
  private constructor(private state: RandomState) {}

  static create(seed: number): Dice {
    const dice = new Dice(seedRandom(seed));
    for (let drawn = 0; drawn < discardedDraws; drawn += 1) dice.below(1);
    return dice;
  }

  /** A number from 0 to below a bound. */
  below(bound: number): number {
    const drawn = nextRandom(this.state);
    this.state = drawn.state;
    return Math.floor(drawn.value * bound);
  }
}
