/** Push-based event source exposed as a `most` stream. */

import { Stream } from "most";

interface Sink<T> {
  event(time: number, value: T): void;
  end(time: number, value?: T): void;
}

interface Scheduler {
  now(): number;
}

/** Drivers push typed events into a channel; the event loop merges the streams of all drivers. */
export interface Channel<T> {
  readonly stream: Stream<T>;
  push(value: T): void;
  end(): void;
}

/** Creates a channel; events pushed before the stream has a subscriber are dropped. */
export const createChannel = <T>(): Channel<T> => {
  let sink: Sink<T> | undefined;
  let scheduler: Scheduler | undefined;
  const source = {
    run: (runSink: Sink<T>, runScheduler: Scheduler) => {
      sink = runSink;
      scheduler = runScheduler;
      return {
        dispose: () => {
          sink = undefined;
        },
      };
    },
  };
  return {
    stream: new Stream<T>(source),
    push: (value) => sink?.event(scheduler?.now() ?? 0, value),
    end: () => sink?.end(scheduler?.now() ?? 0),
  };
};
