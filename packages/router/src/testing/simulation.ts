/** A virtual clock with a queue of tasks and seeded choices, for fault runs in tests. */

import {
  draw,
  seedGenerator,
  type GeneratorState,
} from "@cardamomglade/common";

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: Task, b: Task): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Runs tasks in the order of their moments. */
export class Simulation {
  at = 0;
  private order = 0;
  private generator: GeneratorState;
  private readonly heap: Task[] = [];

  private constructor(seed: number) {
    this.generator = seedGenerator(seed);
  }

  static create(seed: number): Simulation {
    return new Simulation(seed);
  }

  /** Uniform in [0, 1). */
  random(): number {
    const drawn = draw(this.generator);
    this.generator = drawn.state;
    return drawn.value;
  }

  /** An integer from `low` up to but not including `high`. */
  between(low: number, high: number): number {
    return low + Math.floor(this.random() * (high - low));
  }

  chance(share: number): boolean {
    return this.random() < share;
  }

  pick<T>(values: readonly [T, ...T[]]): T {
    return values[this.between(0, values.length)] ?? values[0];
  }

  after(delayMs: number, run: () => void): void {
    this.order += 1;
    const at = this.at + Math.max(0, delayMs);
    this.push({ at, order: this.order, run });
  }

  /** Runs every task up to a moment. */
  runUntil(moment: number): void {
    for (let task = this.heap[0]; task !== undefined; task = this.heap[0]) {
      if (task.at > moment) break;
      this.pop();
      this.at = task.at;
      task.run();
    }
    this.at = moment;
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
      const [one, other] = [heap[left], heap[left + 1]];
      if (one === undefined) break;
      const isOther = other !== undefined && isBefore(other, one);
      const child = isOther ? other : one;
      if (isBefore(last, child)) break;
      heap[index] = child;
      index = isOther ? left + 1 : left;
    }
    heap[index] = last;
  }
}
