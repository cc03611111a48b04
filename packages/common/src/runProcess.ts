/** Runs a process as a fold: drivers' events into state and commands. */

import { mergeArray, type Stream } from "most";
import { createChannel } from "./channel.js";
import type { Step } from "./types.js";

/** A driver turns I/O into events and performs commands. */
export interface Driver<E, C> {
  readonly events: Stream<E>;
  perform(command: C): void;
  stop(): Promise<void>;
}

/** A decision: folds one event into state and commands; no I/O, no clock. */
export type Decide<S, E, C> = (state: S, event: E) => Step<S, C>;

/** What to run. */
export interface ProcessSpec<S, E, C> {
  readonly decide: Decide<S, E, C>;
  readonly state: S;
  readonly drivers: readonly Driver<E, C>[];
  readonly onFailure: (failure: unknown) => void;
}

/** A running process. */
export interface RunningProcess<S> {
  state(): S;
  stop(): Promise<void>;
}

interface Advanced<S, C> {
  readonly seed: S;
  readonly value: readonly C[];
}

/** Starts the fold. Events pushed while a command is performed wait their turn. */
export const runProcess = <S, E, C>(
  spec: ProcessSpec<S, E, C>,
): RunningProcess<S> => {
  let current = spec.state;
  const waiting: E[] = [];
  let draining = false;
  const ordered = createChannel<E>();

  const advance = (state: S, event: E): Advanced<S, C> => {
    const step = spec.decide(state, event);
    current = step.state;
    return { seed: step.state, value: step.commands };
  };

  const performAll = (commands: readonly C[]) => {
    for (const command of commands) {
      for (const driver of spec.drivers) driver.perform(command);
    }
  };

  const drain = () => {
    if (draining) return;
    draining = true;
    try {
      for (let event = waiting.shift(); event !== undefined;) {
        ordered.push(event);
        event = waiting.shift();
      }
    } finally {
      draining = false;
    }
  };

  const enqueue = (event: E) => {
    waiting.push(event);
    drain();
  };

  ordered.stream
    .loop(advance, spec.state)
    .observe(performAll)
    .catch(spec.onFailure);
  mergeArray(spec.drivers.map((driver) => driver.events))
    .observe(enqueue)
    .catch(spec.onFailure);

  return {
    state: () => current,
    stop: async () => {
      await Promise.all(spec.drivers.map((driver) => driver.stop()));
      ordered.end();
    },
  };
};
