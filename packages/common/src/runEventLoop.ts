/** Event loop of a process: a pure reducer turns driver events into state and commands. */

import { mergeArray, type Stream } from "most";
import { createChannel } from "./channel.js";
import type { Transition } from "./types.js";

/** Performs I/O: emits events and performs commands. */
export interface Driver<E, C> {
  readonly events: Stream<E>;
  perform(command: C): void;
  stop(): Promise<void>;
}

/** Pure function from state and event to new state and commands; does no I/O and reads no clock. */
export type Reducer<S, E, C> = (state: S, event: E) => Transition<S, C>;

/** Type `decide`: the reducer threw, and the loop ends. Type `perform`: a command threw, and only that command is dropped. */
export type EventLoopFailure =
  | { readonly type: "decide"; readonly error: unknown }
  | { readonly type: "perform"; readonly error: unknown };

/** Reducer, initial state and drivers of an event loop. */
export interface EventLoopOptions<S, E, C> {
  readonly reduce: Reducer<S, E, C>;
  readonly state: S;
  readonly drivers: readonly Driver<E, C>[];
  readonly onFailure: (failure: EventLoopFailure) => void;
}

/** Handle of a running event loop. */
export interface EventLoop<S> {
  state(): S;
  stop(): Promise<void>;
}

interface ReducedEvent<S, C> {
  readonly seed: S;
  readonly value: readonly C[];
}

/** Starts the event loop. Events pushed while a command is performed are queued. */
export const runEventLoop = <S, E, C>(
  options: EventLoopOptions<S, E, C>,
): EventLoop<S> => {
  let current = options.state;
  let queue: E[] = [];
  let isProcessing = false;
  let hasFailed = false;
  const orderedEvents = createChannel<E>();

  const reduceEvent = (state: S, event: E): ReducedEvent<S, C> => {
    const step = options.reduce(state, event);
    current = step.state;
    return { seed: step.state, value: step.commands };
  };

  const performAll = (commands: readonly C[]) => {
    for (const command of commands) {
      for (const driver of options.drivers) perform(driver, command);
    }
  };

  const perform = (driver: Driver<E, C>, command: C) => {
    try {
      driver.perform(command);
    } catch (error) {
      options.onFailure({ type: "perform", error });
    }
  };

  // A reducer that throws may leave its maps partly updated, so no further event is processed.
  const processQueue = () => {
    if (isProcessing || hasFailed) return;
    isProcessing = true;
    try {
      for (const event of queue) orderedEvents.push(event);
    } catch (error) {
      hasFailed = true;
      options.onFailure({ type: "decide", error });
    }
    queue = [];
    isProcessing = false;
  };

  const enqueue = (event: E) => {
    queue.push(event);
    processQueue();
  };

  const onStreamFailure = (error: unknown) => {
    options.onFailure({ type: "decide", error });
  };
  orderedEvents.stream
    .loop(reduceEvent, options.state)
    .observe(performAll)
    .catch(onStreamFailure);
  mergeArray(options.drivers.map((driver) => driver.events))
    .observe(enqueue)
    .catch(onStreamFailure);

  return {
    state: () => current,
    stop: async () => {
      await Promise.all(options.drivers.map((driver) => driver.stop()));
      orderedEvents.end();
    },
  };
};
