import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainLoad, type PlainLoadOptions } from "../../testing/plainLoad.js";
import {
  idempotentPath,
  nonIdempotentPath,
  plainService,
  Scenario,
  testReplica,
} from "../../testing/scenario.js";
import { bucketOf } from "../serviceTimes/histogram.js";

const replicas = ["a-9", "b-9", "c-9"].map((id) =>
  testReplica(id, plainService),
);
const runMs = 14_000;
const aimMs = 220;
const seeds = [1, 2, 3, 4];

/** Other routers tell of answers that took so long at each replica. */
const tell = (
  scenario: Scenario,
  timesMs: readonly number[],
  route = "/book/",
): void => {
  const outcomes = replicas.map(({ id }, index) => ({
    replica: id,
    succeeded: 20,
    failed: 0,
    times: [
      {
        timeClass: `answers of ${route}`,
        buckets: [{ bucket: bucketOf(timesMs[index] ?? 0), count: 20 }],
      },
    ],
  }));
  scenario.dispatch({ type: "outcomesShared", at: scenario.at, outcomes });
};

/** Numbers of bookings at each replica, sent one after the other. */
const placed = (scenario: Scenario, count: number): number[] => {
  const counts = replicas.map(() => 0);
  for (let index = 0; index < count; index += 1) {
    const key = `${String(scenario.at)}-${String(index)}`;
    scenario.request(key, nonIdempotentPath);
    const { id } = scenario.lastSend(key).attempt.replica;
    const at = replicas.findIndex((replica) => replica.id === id);
    counts[at] = (counts[at] ?? 0) + 1;
    scenario.answer(key);
  }
  return counts;
};

test("while times are even, a request goes to the own zone", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, [60, 40, 40]);
  assert.deepEqual(placed(scenario, 30), [30, 0, 0]);
});

test("a slow replica of the own zone gets a part of the requests, and all once it is fast", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, [400, 40, 40]);
  const [slow = 0, ...others] = placed(scenario, 90);
  assert.ok(slow > 5 && slow < 60, String(slow));
  for (const count of others) assert.ok(count > 5, String(count));
  scenario.advance(6000);
  tell(scenario, [40, 40, 40]);
  assert.deepEqual(placed(scenario, 30), [30, 0, 0]);
});

test("why a request went to a replica is in its log line", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, [60, 60, 60]);
  scenario.request("1", nonIdempotentPath);
  const line = scenario
    .commandsOfType("log")
    .find(({ message }) => message === "request sent");
  assert.equal(line?.context.estimateSource, "replica");
  assert.ok(Number(line.context.expectedMs) > 30);
  assert.equal(line.context.estimateAgeMs, 0);
});

// Load: all replicas have long queues, or only long answers.
test("an overdue attempt is repeated unless all queues are long", () => {
  const repeated = (timesMs: readonly number[], laterMs: readonly number[]) => {
    const scenario = Scenario.create(replicas);
    tell(scenario, timesMs, "/check/");
    scenario.advance(5000);
    tell(scenario, laterMs, "/check/");
    scenario.request("1", idempotentPath);
    scenario.advance(500);
    return scenario.commandsOfType("send").length === 2;
  };
  assert.ok(!repeated([40, 40, 40], [500, 500, 500]));
  assert.ok(repeated([40, 40, 40], [500, 500, 40]));
  assert.ok(repeated([500, 500, 500], [500, 500, 500]));
});

// Load: all queues are long, and one replica answers nothing at all.
test("an overdue attempt counts only if it is repeated", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, [40, 40, 40], "/check/");
  scenario.advance(5000);
  tell(scenario, [500, 500, 500], "/check/");
  scenario.request("1", idempotentPath);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.advance(1000);
  assert.equal(scenario.commandsOfType("send").length, 1);
  const told = scenario
    .commandsOfType("shareOutcomes")
    .flatMap(({ outcomes }) => outcomes)
    .filter((one) => one.replica === replica.id)
    .flatMap(({ times }) => times);
  assert.equal(told.length, 1);
});

const meanOf = (
  options: Omit<PlainLoadOptions, "seed" | "routerCount">,
  measure: (load: PlainLoad) => number,
): number => {
  const values = seeds.map((seed) => {
    const load = PlainLoad.create({ routerCount: 81, seed, ...options });
    load.run(runMs);
    return measure(load);
  });
  return values.reduce((sum, value) => sum + value, 0) / values.length;
};

// Load: one of three replicas is 2.5 times slower, by turns of some seconds; each of 81 routers sees 2 or 3 requests a second.
test("nine tenths are in time while one replica after the other is slow", () => {
  const ids = replicas.map(({ id }) => id);
  const share = meanOf(
    {
      perS: (ms) => 190 * (1 + 0.55 * Math.sin((2 * Math.PI * ms) / 13_000)),
      slowness: (id, ms) =>
        ids.indexOf(id) === Math.floor(ms / 4000) % 3 ? 2.5 : 1,
    },
    (load) => load.shareInTime(1000, runMs - 1000, aimMs),
  );
  assert.ok(share >= 0.9, String(share));
});

// Load: one of three replicas leaves, and the others are asked for more than they can answer.
test("requests are not repeated into the queues that a lost replica leaves behind", () => {
  const perRequest = meanOf(
    {
      perS: () => 380,
      slowness: () => 1,
      leavesAtMs: 2000,
      path: idempotentPath,
    },
    (load) => load.arrivals / load.ends.length,
  );
  // Callers come back once themselves; more would be the routers' repeats.
  assert.ok(perRequest <= 1.5, String(perRequest));
});
