import assert from "node:assert/strict";
import { test } from "node:test";
import {
  idempotentPath,
  nonIdempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
  testConfig,
  testRequest,
} from "../../testing/scenario.js";
import { workOf } from "../plannedStop/answerTimes.js";
import { WorkKind, type Work } from "../plannedStop/types.js";
import { maxServiceTimeClassCount, maxTimeClassCount } from "./constants.js";
import { estimateTime, quantileMs } from "./estimateTime.js";
import { bucketOf } from "./histogram.js";
import { EstimateSource, type TimeEstimate } from "./types.js";

const replicas = ["a-9", "b-9", "c-9"].map((id) =>
  testReplica(id, plainService),
);

const workAt = (path: string): Work => {
  const route = testConfig().routes.find(({ prefix }) =>
    path.startsWith(prefix),
  );
  assert.ok(route);
  const request = testRequest("id", path, 0);
  return workOf({ route, service: plainService, request });
};

const booking = workAt(nonIdempotentPath);

const estimateAt = (scenario: Scenario, id: string): TimeEstimate | undefined =>
  estimateTime(scenario.state, scenario.state.replicas.get(id), booking);

/** Another router tells of answers that took so long. */
const tell = (
  scenario: Scenario,
  replica: string,
  timeMs: number,
  count: number,
): void => {
  const buckets = [{ bucket: bucketOf(timeMs), count }];
  const times = [{ timeClass: booking.timeClass, buckets }];
  const outcomes = [{ replica, succeeded: count, failed: 0, times }];
  scenario.dispatch({ type: "outcomesShared", at: scenario.at, outcomes });
};

test("nothing is said before an answer, nor of streams", () => {
  const scenario = Scenario.create(replicas);
  assert.equal(estimateAt(scenario, "a-9"), undefined);
  const stream = workAt(streamPath);
  assert.notEqual(stream.kind, WorkKind.Answer);
  assert.equal(estimateTime(scenario.state, undefined, stream), undefined);
});

test("few answers of a replica say what all replicas take", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, "a-9", 50, 10);
  tell(scenario, "b-9", 400, 2);
  const known = estimateAt(scenario, "a-9");
  assert.equal(known?.source, EstimateSource.Replica);
  assert.ok(known.p50Ms > 30 && known.p50Ms < 75, String(known.p50Ms));
  const unknown = estimateAt(scenario, "b-9");
  assert.equal(unknown?.source, EstimateSource.Service);
  assert.ok(unknown.p50Ms < 75);
  assert.ok(unknown.p95Ms > 250);
  assert.ok(known.weight <= 10);
});

// Load: a replica becomes 2.5 times slower for some seconds, at 8 answers a second of all routers.
test("a replica that turned slow is known in a second, and one that recovered", () => {
  const scenario = Scenario.create(replicas);
  const run = (timeMs: number, forMs: number) => {
    for (let spent = 0; spent < forMs; spent += 250) {
      scenario.advance(250);
      tell(scenario, "a-9", timeMs, 2);
    }
    return estimateAt(scenario, "a-9")?.p50Ms ?? 0;
  };
  const usual = run(50, 3000);
  const slow = run(125, 1000);
  assert.ok(slow > 1.8 * usual, `${String(slow)} of ${String(usual)}`);
  const recovered = run(50, 1000);
  assert.ok(recovered < 1.3 * usual, `${String(recovered)} now`);
});

test("what is known is forgotten after some seconds", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, "a-9", 50, 20);
  scenario.advance(10_000);
  assert.equal(estimateAt(scenario, "a-9"), undefined);
});

test("answers of this router count at once and are told once", () => {
  const scenario = Scenario.create(replicas);
  for (let index = 0; index < 4; index += 1) {
    scenario.request(String(index), nonIdempotentPath);
    scenario.advance(100);
    scenario.answer(String(index));
  }
  const p50Ms = quantileMs(scenario.state, undefined, booking, 0.5) ?? 0;
  assert.ok(p50Ms > 70 && p50Ms < 145, String(p50Ms));
  scenario.advance(1000);
  const counts = scenario
    .commandsOfType("shareOutcomes")
    .flatMap(({ outcomes }) => outcomes)
    .flatMap(({ times }) => times)
    .flatMap(({ buckets }) => buckets);
  assert.equal(
    counts.reduce((sum, { count }) => sum + count, 0),
    4,
  );
});

// Load: a replica accepts requests and answers none.
test("answers that are overdue make a replica slow that answers nothing", () => {
  const scenario = Scenario.create(replicas);
  tell(scenario, "a-9", 50, 4);
  scenario.advance(2000);
  for (const key of ["1", "2", "3", "4"]) scenario.request(key, idempotentPath);
  scenario.advance(500);
  const p50Ms = quantileMs(
    scenario.state,
    undefined,
    workAt(idempotentPath),
    0.5,
  );
  assert.ok((p50Ms ?? 0) > 300, String(p50Ms));
});

/** Number of answers of a replica that this router told others of. */
const toldCountOf = (scenario: Scenario, id: string): number =>
  scenario
    .commandsOfType("shareOutcomes")
    .flatMap(({ outcomes }) => outcomes)
    .filter(({ replica }) => replica === id)
    .flatMap(({ times }) => times)
    .flatMap(({ buckets }) => buckets)
    .reduce((sum, { count }) => sum + count, 0);

// Load: a replica stands still, goes on after others were asked, and may not end in time.
test("an attempt that was overdue counts again at its answer, or at its deadline", () => {
  for (const isAnswered of [true, false]) {
    const scenario = Scenario.create(replicas);
    scenario.request("1", idempotentPath);
    const { attempt } = scenario.lastSend("1");
    scenario.advance(400);
    assert.equal(scenario.commandsOfType("send").length, 2);
    scenario.dispatch({
      type: "answerProgressed",
      at: scenario.at,
      key: "1",
      attempt: attempt.number,
      isHeldBack: false,
    });
    scenario.advance(700);
    if (isAnswered) scenario.answerAttempt("1", attempt.number);
    scenario.advance(1000);
    assert.equal(scenario.state.exchanges.size, 0);
    assert.equal(toldCountOf(scenario, attempt.replica.id), 1);
  }
});

test("failures say nothing of times, and other routers name few classes", () => {
  const scenario = Scenario.create(replicas);
  scenario.request("1", nonIdempotentPath);
  scenario.answer("1", { status: 500 });
  const { serviceTimes } = scenario.state;
  assert.equal([...serviceTimes].length, 0);
  for (let index = 0; index < 2 * maxServiceTimeClassCount; index += 1) {
    const buckets = [{ bucket: index, count: 1 }];
    const times = [{ timeClass: `class ${String(index)}`, buckets }];
    const outcomes = [{ replica: "a-9", succeeded: 0, failed: 0, times }];
    scenario.dispatch({ type: "outcomesShared", at: scenario.at, outcomes });
  }
  assert.ok(serviceTimes.size <= maxServiceTimeClassCount);
  const ofReplica = scenario.state.replicas.get("a-9")?.serviceTimes;
  assert.equal(ofReplica?.size, maxTimeClassCount);
});
