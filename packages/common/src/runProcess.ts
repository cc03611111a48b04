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

/** A decision that threw ends the fold; a command that threw is dropped. */
export type ProcessFailure =
  | { readonly type: "decide"; readonly error: unknown }
  | { readonly type: "perform"; readonly error: unknown };

/** What to run. */
export interface ProcessSpec<S, E, C> {
  readonly decide: Decide<S, E, C>;
  readonly state: S;
  readonly drivers: readonly Driver<E, C>[];
  readonly onFailure: (failure: ProcessFailure) => void;
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
  let waiting: E[] = [];
  let draining = false;
  let failed = false;
  const ordered = createChannel<E>();

  const advance = (state: S, event: E): Advanced<S, C> => {
    const step = spec.decide(state, event);
    current = step.state;
    return { seed: step.state, value: step.commands };
  };

  const performAll = (commands: readonly C[]) => {
    for (const command of commands) {
      for (const driver of spec.drivers) perform(driver, command);
    }
  };

  const perform = (driver: Driver<E, C>, command: C) => {
    try {
      driver.perform(command);
    } catch (error) {
      spec.onFailure({ type: "perform", error });
    }
  };

  // A decision that throws may have left maps half changed, so no event follows it.
  const drain = () => {
    if (draining || failed) return;
    draining = true;
    try {
      for (const event of waiting) ordered.push(event);
    } catch (error) {
      failed = true;
      spec.onFailure({ type: "decide", error });
    }
    waiting = [];
    draining = false;
  };

  const enqueue = (event: E) => {
    waiting.push(event);
    drain();
  };

  const onStreamFailure = (error: unknown) => {
    spec.onFailure({ type: "decide", error });
  };
  ordered.stream
    .loop(advance, spec.state)
    .observe(performAll)
    .catch(onStreamFailure);
  mergeArray(spec.drivers.map((driver) => driver.events))
    .observe(enqueue)
    .catch(onStreamFailure);

  return {
    state: () => current,
    stop: async () => {
      await Promise.all(spec.drivers.map((driver) => driver.stop()));
      ordered.end();
    },
  };
};
