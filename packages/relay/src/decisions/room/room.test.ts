import assert from "node:assert/strict";
import { test } from "node:test";
import {
  idleReport,
  Scenario,
  streamPath,
  testReplica,
} from "../../testing/scenario.js";
import type { EngineReport, ReportedRun } from "../../types.js";
import { chooseCopyHolder } from "../copyHolders.js";
import { readingMsOf } from "./readingRate.js";
import { sizeOf } from "./requestSize.js";
import { missingPlaces, roomOf } from "./roomOf.js";

const promptTokens = 8200;
const maxOutputTokens = 1120;
const long = { promptTokens, maxOutputTokens, lastPromptBlockId: "own" };

const readsPerLook = 2; // of a report

const generating = (kvTokens: number): ReportedRun => ({
  requestId: `run-${String(kvTokens)}`,
  generatedEventCount: 20,
  kvTokens,
});

/** An engine of the given number of runs that generate. */
const busyReport = (
  runCount: number,
  changes: Partial<EngineReport> = {},
): EngineReport => {
  const runs = Array.from({ length: runCount }, (_, index) =>
    generating(8300 + index),
  );
  return {
    ...idleReport,
    active: runCount,
    kvUsedTokens: 8400 * runCount,
    runs,
    ...changes,
  };
};

const engineIds = ["a-1", "b-1", "c-1"];

const withEngines = (
  reports: Readonly<Record<string, EngineReport>>,
): Scenario => {
  const scenario = Scenario.create(
    engineIds.map((id) => testReplica(id, "engines", { slots: 8 })),
  );
  for (const [id, report] of Object.entries(reports))
    scenario.reports.set(id, report);
  return scenario;
};

const viewOf = (scenario: Scenario, id: string) => {
  const view = scenario.state.replicas.get(id);
  assert.ok(view);
  return view;
};

// Load: engines with free slots whose memory is full of runs and of copies for others.
test("a prompt goes to an engine that has memory for it, not to one with fewer runs", () => {
  const full = busyReport(2, { kvUsedTokens: 84_000 });
  const scenario = withEngines({
    "a-1": full,
    "b-1": full,
    "c-1": busyReport(5),
  });
  scenario.request("1", streamPath, long);
  assert.equal(scenario.lastSend("1").attempt.replica.id, "c-1");
});

// Load: engines short of memory, which copies of new runs would fill.
test("an engine that is known to lack memory gets no copy", () => {
  const short = busyReport(2, { kvUsedTokens: 70_000 });
  const scenario = withEngines({ "b-1": short, "c-1": short });
  scenario.request("1", streamPath, long);
  const { replica, copyTo } = scenario.lastSend("1").attempt;
  assert.equal(replica.id, "a-1");
  assert.equal(copyTo, undefined);
  scenario.streamEvents("1", 1, 1);
  scenario.advance(25);
  assert.deepEqual(scenario.commandsOfType("copyKvCache"), []);
  for (const id of ["b-1", "c-1"])
    scenario.probeFinished(testReplica(id), scenario.at, {
      isAnswered: true,
      report: idleReport,
    });
  scenario.advance(400);
  assert.equal(scenario.commandsOfType("copyKvCache").length, 1);
});

// Load: a burst in which a router sends several prompts within the age of one report.
test("what was sent since the report takes room", () => {
  const scenario = withEngines({});
  scenario.request("1", streamPath, long);
  const { replica } = scenario.lastSend("1").attempt;
  const size = sizeOf(scenario.lastSend("1").request);
  const room = roomOf(scenario.state, viewOf(scenario, replica.id), size);
  assert.equal(room?.freeSlots, 7);
  assert.equal(room.prefilling, 1);
  assert.equal(room.freeTokens, 88_000 - promptTokens - maxOutputTokens);
});

// Load: seventy routers that all send to the engines between two reports.
test("what other routers probably sent since the report takes room as well", () => {
  const scenario = withEngines({});
  scenario.request("1", streamPath, long);
  const { replica } = scenario.lastSend("1").attempt;
  const size = sizeOf(scenario.lastSend("1").request);
  const roomNow = () =>
    roomOf(scenario.state, viewOf(scenario, replica.id), size);
  const before = roomNow()?.freeTokens ?? 0;
  scenario.routersRead(Array.from({ length: 70 }, (_, i) => `r${String(i)}`));
  const after = roomNow()?.freeTokens ?? 0;
  assert.ok(after < before);
  assert.ok(before - after < 2 * 70 * size.totalTokens);
});

test("runs are expected to grow to the end of their answers", () => {
  const report = busyReport(1, { runs: [generating(8300)] });
  const scenario = withEngines({ "a-1": report });
  scenario.request("1", streamPath, long);
  const size = sizeOf(scenario.lastSend("1").request);
  const room = roomOf(scenario.state, viewOf(scenario, "a-1"), size);
  const growth = size.totalTokens - 8300;
  assert.equal(room?.freeTokens, 88_000 - 8400 - growth);
  assert.equal(missingPlaces(room, size), 0);
  assert.ok(missingPlaces(room, size, 9) > 0);
});

test("an old report tells nothing", () => {
  const scenario = withEngines({});
  scenario.request("1", streamPath, long);
  scenario.at += 1000;
  scenario.state.at = scenario.at;
  const size = sizeOf(undefined);
  const view = viewOf(scenario, "a-1");
  assert.equal(roomOf(scenario.state, view, size), undefined);
});

// Load: engines that read twice as fast as assumed.
test("the rate of reading prompts is learned from first events", () => {
  const scenario = withEngines({});
  const size = sizeOf(undefined);
  const assumedMs = readingMsOf(scenario.state, "engines", size);
  for (let index = 0; index < 30; index += 1) {
    const key = String(index);
    scenario.request(key, streamPath, long);
    scenario.at += promptTokens / 16;
    scenario.streamEvents(key, 1, 1);
    scenario.endStream(key);
    scenario.at += 1000;
  }
  const learnedMs = readingMsOf(scenario.state, "engines", size);
  assert.ok(Math.abs(learnedMs - assumedMs / 2) < assumedMs / 20);
});

// Load: engines are lost while memory is short; their streams go on elsewhere, all at once.
test("an engine of unknown memory gets no copy while most engines are known to lack it", () => {
  const scenario = Scenario.create(
    ["a-1", "b-1", "c-1", "d-1"].map((id) => testReplica(id)),
  );
  const short = busyReport(2, { kvUsedTokens: 80_000 });
  const report = (id: string, at: EngineReport) =>
    scenario.probeFinished(testReplica(id), scenario.at, {
      isAnswered: true,
      report: at,
    });
  scenario.unresponsiveEngines.add("b-1").add("c-1").add("d-1");
  report("c-1", short);
  report("d-1", short);
  scenario.at += 500;
  scenario.request("1", streamPath, long);
  scenario.advance(100);
  const { replica, copyTo } = scenario.lastSend("1").attempt;
  assert.equal(replica.id, "a-1");
  assert.equal(copyTo, undefined);
  for (const id of ["c-1", "d-1"]) report(id, idleReport);
  scenario.streamEvents("1", 1, 1);
  scenario.advance(300);
  assert.equal(scenario.commandsOfType("copyKvCache").length, 1);
});

// Load: a fleet whose engines are short of memory, and few of which reported lately.
test("all engines are looked at for each one of unknown memory that may hold a copy", () => {
  const ids = ["a", "b", "c", "d"].flatMap((zone) =>
    [1, 2, 3].map((index) => `${zone}-${String(index)}`),
  );
  const scenario = Scenario.create(ids.map((id) => testReplica(id)));
  for (const id of ids) scenario.unresponsiveEngines.add(id);
  scenario.request("1", streamPath, long);
  scenario.advance(100);
  const exchange = scenario.state.exchanges.get("1");
  const { replica } = scenario.lastSend("1").attempt;
  const known = ids.filter((id) => id !== replica.id).slice(0, 2);
  const report = busyReport(2, { kvUsedTokens: 80_000 });
  for (const id of known)
    scenario.probeFinished(testReplica(id), scenario.at, {
      isAnswered: true,
      report,
    });
  let readCount = 0;
  Object.defineProperty(viewOf(scenario, known[0] ?? ""), "report", {
    get: () => {
      readCount += 1;
      return report;
    },
  });
  assert.ok(exchange);
  const holder = chooseCopyHolder(scenario.state, exchange, replica);
  assert.equal(holder, undefined);
  const lookCount = readCount / readsPerLook;
  // With all engines, and once more if it is among those that may hold the copy.
  assert.ok(lookCount >= 1 && lookCount <= 2, String(lookCount));
});
