/** Discrete-event simulation with a virtual clock and a seeded random generator. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: Task, b: Task): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Runs tasks in order of their virtual time; tasks of the same time run in the order in which they were scheduled. */
export class Simulation {
  now = 0;
  private order = 0;
  private generator: RandomState;
  private readonly heap: Task[] = [];

  private constructor(seed: number) {
    this.generator = seedRandom(seed);
  }

  static create(seed: number): Simulation {
    return new Simulation(seed);
  }

  /** A uniform random number in [0, 1). */
  random(): number {
    const drawn = nextRandom(this.generator);
    this.generator = drawn.state;
    return drawn.value;
  }

  /** A uniform random integer from `low` up to, but not including, `high`. */
  randomInt(low: number, high: number): number {
    return low + Math.floor(this.random() * (high - low));
  }

  randomBoolean(probability: number): boolean {
    return this.random() < probability;
  }

  pick<T>(values: readonly [T, ...T[]]): T {
    return values[this.randomInt(0, values.length)] ?? values[0];
  }

  schedule(delayMs: number, run: () => void): void {
    this.order += 1;
    const at = this.now + Math.max(0, delayMs);
    this.push({ at, order: this.order, run });
  }

  /** Runs every task scheduled up to the given time and advances the clock to it. */
  runUntil(until: number): void {
    for (let task = this.heap[0]; task !== undefined; task = this.heap[0]) {
      if (task.at > until) break;
      this.pop();
      this.now = task.at;
      task.run();
    }
    this.now = until;
  }

  private push(task: Task): void {
    const { heap } = this;
    let index = heap.push(task) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || isBefore(above, task)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = task;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const [leftChild, rightChild] = [heap[left], heap[left + 1]];
      if (leftChild === undefined) break;
      const isRightChildFirst =
        rightChild !== undefined && isBefore(rightChild, leftChild);
      const child = isRightChildFirst ? rightChild : leftChild;
      if (isBefore(last, child)) break;
      heap[index] = child;
      index = isRightChildFirst ? left + 1 : left;
    }
    heap[index] = last;
  }
}
