import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptFailure, backEndViewOf } from "@cardamomglade/decisions";
import {
  BackEndType,
  FinishReason,
  Priority,
  type BackEnd,
  type Intent,
} from "@cardamomglade/schema";
import { createRouterState, decide } from "../decide.js";
import type { RouterCommand, RouterEvent, RouterState } from "../types.js";
import { migrateStreamsFrom } from "./migrateStreams.js";

const backEnd = (name: string): BackEnd => ({
  name,
  type: BackEndType.Engine,
  url: `http://${name}`,
  host: `host-${name}`,
  zone: "a",
  region: "r",
  checksFencing: true,
  slots: 8,
});

const intent: Intent = {
  customers: [],
  models: [],
  backEnds: [backEnd("one"), backEnd("two")],
  deployments: [
    {
      name: "d",
      model: "m",
      version: "v1",
      backEnds: ["one", "two"],
      customers: ["stall"],
      recovery: { type: "latencyFirst", hedge: true },
    },
  ],
  services: [],
  leaving: [],
};

const request = {
  requestId: "q",
  customer: "stall",
  priority: Priority.Standard,
  model: "m",
  prompt: "p",
  maxTokens: 6,
  stop: [],
  deadline: 60_000,
};

class StreamRun {
  state: RouterState = createRouterState(
    {
      name: "r1",
      host: "h",
      zone: "a",
      region: "r",
    },
    { strategy: { type: "leastInFlight" } },
  );
  commands: RouterCommand[] = [];

  apply(event: RouterEvent): void {
    const step = decide(this.state, event);
    this.state = step.state;
    this.commands.push(...step.commands);
  }

  tokens(attempt: number, offset: number, ids: readonly number[]): void {
    const tokens = ids.map((id) => ({ id, text: ` t${String(id)}` }));
    const at = 10 + offset;
    const requestId = "q";
    this.apply({
      type: "tokensArrived",
      at,
      requestId,
      attempt,
      offset,
      tokens,
    });
  }

  delivered(): number[] {
    return this.commands.flatMap((command) =>
      command.type === "deliver" ? command.tokens.map(({ id }) => id) : [],
    );
  }

  inFlight(): number[] {
    return ["one", "two"].map(
      (name) => backEndViewOf(this.state.routing, name).ownInFlight,
    );
  }
}

const startMigration = (): StreamRun => {
  const run = new StreamRun();
  run.apply({
    type: "configurationRead",
    at: 1,
    accepted: { revision: 5, intent },
  });
  run.apply({ type: "generationArrived", at: 2, request });
  run.tokens(0, 0, [0, 1]);
  const step = migrateStreamsFrom(run.state, "host-one", 20);
  run.state = step.state;
  run.commands.push(...step.commands);
  assert.deepEqual(run.inFlight(), [1, 1]);
  return run;
};

const finish = (run: StreamRun, attempt: number, offset: number): void => {
  run.apply({
    type: "attemptFinished",
    at: 50,
    requestId: "q",
    attempt,
    offset,
    reason: FinishReason.Length,
  });
};

test("a migrated stream delivers the tokens of one generation and discards held tokens", () => {
  const run = startMigration();
  run.tokens(0, 2, [2]);
  assert.deepEqual(run.delivered(), [0, 1]);
  run.tokens(1, 2, [92, 93]);
  run.tokens(0, 3, [3]);
  assert.deepEqual(run.delivered(), [0, 1, 92, 93]);
  assert.deepEqual(run.inFlight(), [0, 1]);
  finish(run, 1, 4);
  assert.deepEqual(run.inFlight(), [0, 0]);
});

test("a stream whose migration fails continues with the held tokens", () => {
  const run = startMigration();
  run.tokens(0, 2, [2]);
  run.apply({
    type: "attemptFailed",
    at: 30,
    requestId: "q",
    attempt: 1,
    failure: AttemptFailure.Connection,
  });
  assert.deepEqual(run.delivered(), [0, 1, 2]);
  assert.deepEqual(run.inFlight(), [1, 0]);
  run.tokens(0, 3, [3]);
  finish(run, 0, 4);
  assert.deepEqual(run.delivered(), [0, 1, 2, 3]);
  assert.deepEqual(run.inFlight(), [0, 0]);
});

test("an answer that ends during its migration delivers the held tokens", () => {
  const run = startMigration();
  run.tokens(0, 2, [2]);
  finish(run, 0, 3);
  assert.deepEqual(run.delivered(), [0, 1, 2]);
  assert.deepEqual(run.inFlight(), [0, 0]);
  assert.equal(run.state.streams.size, 0);
});

test("a caller that disconnects during a migration releases both attempts", () => {
  const run = startMigration();
  run.apply({ type: "callerDisconnected", at: 30, requestId: "q" });
  assert.deepEqual(run.inFlight(), [0, 0]);
});
