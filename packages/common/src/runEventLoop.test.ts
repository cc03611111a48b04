import assert from "node:assert/strict";
import { test } from "node:test";
import { createChannel } from "./channel.js";
import {
  runEventLoop,
  type Reducer,
  type Driver,
  type EventLoopFailure,
} from "./runEventLoop.js";

type TestEvent = { type: "add"; value: number } | { type: "throw" };

interface TestCommand {
  readonly sum: number;
}

const decide: Reducer<number, TestEvent, TestCommand> = (state, event) => {
  if (event.type === "throw") throw new Error("decide failed on order");
  const sum = state + event.value;
  return { state: sum, commands: [{ sum }] };
};

const start = (perform: (command: TestCommand) => void) => {
  const channel = createChannel<TestEvent>();
  const failures: EventLoopFailure[] = [];
  const driver: Driver<TestEvent, TestCommand> = {
    events: channel.stream,
    perform,
    stop: () => Promise.resolve(),
  };
  const running = runEventLoop({
    reduce: decide,
    state: 0,
    drivers: [driver],
    onFailure: (failure) => failures.push(failure),
  });
  return { channel, failures, running };
};

test("an event pushed while a command is performed is queued until all commands have run", () => {
  const performed: number[] = [];
  const { channel, running } = start(({ sum }) => {
    performed.push(sum);
    if (sum === 1) channel.push({ type: "add", value: 10 });
    performed.push(-sum);
  });
  channel.push({ type: "add", value: 1 });
  assert.deepEqual(performed, [1, -1, 11, -11]);
  assert.equal(running.state(), 11);
});

test("a command that throws is reported and the event loop continues", () => {
  const { channel, failures, running } = start(({ sum }) => {
    if (sum === 1) throw new Error("perform failed on order");
  });
  channel.push({ type: "add", value: 1 });
  channel.push({ type: "add", value: 1 });
  assert.equal(running.state(), 2);
  assert.deepEqual(
    failures.map(({ type }) => type),
    ["perform"],
  );
});

test("no event is processed after the reducer has thrown", () => {
  const { channel, failures, running } = start(() => undefined);
  channel.push({ type: "add", value: 1 });
  channel.push({ type: "throw" });
  channel.push({ type: "add", value: 1 });
  assert.equal(running.state(), 1);
  assert.deepEqual(
    failures.map(({ type }) => type),
    ["decide"],
  );
});
