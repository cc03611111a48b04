import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import {
  RequestType,
  RunEnd,
  type Arrival,
  type CallerAnswer,
  type FaultSpan,
  type RecordedRun,
  type SoakRecord,
} from "./types.js";

const answer = (changes: Partial<CallerAnswer>): CallerAnswer => ({
  requestId: "r",
  requestType: RequestType.Booking,
  router: 0,
  life: 1,
  keyVersion: 0,
  sentAt: 20_000,
  bodySentAt: 20_000,
  endedAt: 20_100,
  outcome: { type: "whole" },
  faults: [],
  ...changes,
});

const arrival = (changes: Partial<Arrival> = {}): Arrival => ({
  requestId: "r",
  replica: "replica-1",
  service: "desk-1",
  at: 20_010,
  hasRun: true,
  isContinued: false,
  ...changes,
});

const span = (changes: Partial<FaultSpan>): FaultSpan => ({
  type: "storeBusy",
  router: undefined,
  replica: undefined,
  from: 19_000,
  to: 21_000,
  ...changes,
});

const record = (changes: Partial<SoakRecord>): SoakRecord => ({
  arrivals: [arrival()],
  runs: [],
  answers: [answer({})],
  versions: [{ version: 1, at: 0, service: "desk-1" }],
  leaving: [],
  faults: [],
  ownEnds: [],
  usages: [],
  memoryMb: 350,
  ownStalls: [],
  calmFrom: 60_000,
  ...changes,
});

const violatedBy = (changes: Partial<SoakRecord>): string[] =>
  checkSoak(record(changes)).map(({ promise }) => promise);

const twoVersions = [
  { version: 1, at: 0, service: "desk-1" },
  { version: 2, at: 10_000, service: "desk-0" },
];

test("a record without violations passes", () => {
  assert.deepEqual(violatedBy({}), []);
});

test("a booking that ran twice is a violation, a check that ran twice is not", () => {
  const arrivals = [arrival(), arrival({ replica: "replica-2" })];
  assert.deepEqual(violatedBy({ arrivals }), ["once"]);
  const answers = [answer({ requestType: RequestType.Check })];
  assert.deepEqual(violatedBy({ arrivals, answers }), []);
});

test("a refusal of a booking that ran is a violation", () => {
  const answers = [answer({ outcome: { type: "answered", status: 503 } })];
  assert.deepEqual(violatedBy({ answers }), ["notRun"]);
  const arrivals = [arrival({ hasRun: false })];
  assert.deepEqual(violatedBy({ answers, arrivals }), []);
});

test("bytes of another response are a violation", () => {
  const answers = [answer({ faults: ["bytes of another answer"] })];
  assert.deepEqual(violatedBy({ answers }), ["ownAnswer"]);
});

test("a request without a response is a violation, unless its router was paused", () => {
  const answers = [answer({ outcome: { type: "silent" }, endedAt: 23_500 })];
  assert.deepEqual(violatedBy({ answers }), ["ownAnswer", "notLost"]);
  const faults = [span({ type: "routerPause", router: 0 })];
  assert.deepEqual(violatedBy({ answers, faults }), []);
});

test("a stream that ran at a desk service is a violation", () => {
  const answers = [answer({ requestType: RequestType.Stream })];
  assert.deepEqual(violatedBy({ answers }), ["route"]);
});

test("an older version in force for too long is a violation, unless the router was disconnected from the store", () => {
  assert.deepEqual(violatedBy({ versions: twoVersions }), ["configuration"]);
  const faults = [span({ from: 9000, to: 18_000 })];
  assert.deepEqual(violatedBy({ versions: twoVersions, faults }), []);
});

test("an accepted revoked key and a rejected valid key are violations", () => {
  const arrivals = [arrival({ service: "desk-0" })];
  const taken = [answer({ keyVersion: 1 })];
  assert.deepEqual(
    violatedBy({ versions: twoVersions, arrivals, answers: taken }),
    ["configuration"],
  );
  const denied = [answer({ outcome: { type: "answered", status: 401 } })];
  assert.deepEqual(violatedBy({ arrivals: [], answers: denied }), [
    "configuration",
  ]);
});

test("a router process that goes back to an older version is a violation", () => {
  const answers = [
    answer({ requestId: "a", keyVersion: 2, sentAt: 10_500, endedAt: 10_600 }),
    answer({ requestId: "b", keyVersion: 1, sentAt: 11_000, endedAt: 11_100 }),
  ];
  const arrivals = [
    arrival({ requestId: "a", service: "desk-0", at: 10_550 }),
    arrival({ requestId: "b", at: 11_050 }),
  ];
  assert.deepEqual(violatedBy({ versions: twoVersions, arrivals, answers }), [
    "configuration",
  ]);
});

test("new work at a draining replica is a violation", () => {
  const leaving = [{ replica: "replica-1", at: 17_000 }];
  assert.deepEqual(violatedBy({ leaving }), ["leaving"]);
  assert.deepEqual(
    violatedBy({ leaving: [{ replica: "replica-1", at: 18_500 }] }),
    [],
  );
});

test("a caller interrupted by a planned stop is a violation, unless an unplanned fault overlaps", () => {
  const answers = [answer({ outcome: { type: "cut", hasConnected: true } })];
  const stop = span({ type: "routerStop", router: 0 });
  assert.deepEqual(violatedBy({ answers, faults: [stop] }), ["plannedStop"]);
  const crash = span({ type: "replicaCrash" });
  assert.deepEqual(violatedBy({ answers, faults: [stop, crash] }), []);
});

test("retries beyond the retry budget are a violation", () => {
  const arrivals = Array.from({ length: 70 }, () => arrival({ hasRun: false }));
  const violated = new Set(violatedBy({ arrivals }));
  assert.deepEqual([...violated], ["repeats"]);
  assert.deepEqual(violatedBy({ arrivals: arrivals.slice(0, 50) }), []);
  const continued = arrivals.map((one) => ({ ...one, isContinued: true }));
  assert.deepEqual(violatedBy({ arrivals: continued }), []);
});

const retryBurst = (firstAttemptsUntil: number, retriesAt: number) => {
  const first = Array.from({ length: 200 }, (_, i) =>
    arrival({ requestId: `first-${String(i)}`, at: firstAttemptsUntil - i }),
  ).reverse();
  // 0.8 for each first attempt, and 60 more.
  const retries = Array.from({ length: 220 }, () =>
    arrival({ requestId: "first-0", at: retriesAt }),
  );
  return [...first, ...retries];
};

test("first attempts of the window before pay for retries as well", () => {
  const arrivals = retryBurst(20_000, 39_500);
  const violated = checkSoak(record({ arrivals, answers: [] }));
  assert.deepEqual(violated, []);
});

test("first attempts of an earlier window pay for no retries", () => {
  const arrivals = retryBurst(20_000, 40_500);
  const promises = checkSoak(record({ arrivals, answers: [] })).map(
    ({ promise }) => promise,
  );
  assert.deepEqual(new Set(promises), new Set(["repeats"]));
});

test("a failed request after recovery and an unexpected router exit are violations", () => {
  const answers = [answer({ outcome: { type: "answered", status: 500 } })];
  const violated = violatedBy({ answers, calmFrom: 15_000 });
  assert.deepEqual(violated, ["notLost", "recovery"]);
  const ownEnds = [
    { router: 0, life: 1, at: 1, code: 1, signal: null, lastOutput: [] },
  ];
  assert.deepEqual(violatedBy({ ownEnds }), ["staysUp"]);
});

test("a request that is lost beside silences and changes of the configuration is a violation, beside other faults it is not", () => {
  const outcomes: CallerAnswer["outcome"][] = [
    { type: "cut", hasConnected: true },
    { type: "answered", status: 502 },
    { type: "answered", status: 504 },
  ];
  const faults = [
    span({ type: "replicaSilent" }),
    span({ type: "streamSilent" }),
    span({ type: "configChange" }),
  ];
  const crash = span({ type: "replicaCrash", to: 19_500 });
  for (const outcome of outcomes) {
    const answers = [answer({ outcome })];
    assert.deepEqual(violatedBy({ answers, faults }), ["notLost"]);
    assert.deepEqual(violatedBy({ answers, faults: [...faults, crash] }), []);
  }
  const late = [answer({ endedAt: 20_000 + 2500 + 400 })];
  assert.deepEqual(violatedBy({ answers: late, faults }), ["notLost"]);
  const refused = [answer({ outcome: { type: "answered", status: 503 } })];
  assert.deepEqual(violatedBy({ answers: refused, arrivals: [], faults }), []);
});

test("a planned stop that interrupts a caller is a violation although a replica was silent", () => {
  const answers = [answer({ outcome: { type: "cut", hasConnected: true } })];
  const stop = span({ type: "routerStop", router: 0 });
  const silent = span({ type: "replicaSilent" });
  assert.deepEqual(violatedBy({ answers, faults: [stop, silent] }), [
    "plannedStop",
  ]);
});

// Load: callers that keep using open connections until a stopping router closes them (seed 703).
test("a request that crosses the close of its connection counts as lost, and one that was sent on does not", () => {
  const stop = span({ type: "routerStopAgain", router: 0 });
  const cut = answer({
    endedAt: 20_200,
    outcome: { type: "cut", hasConnected: true },
  });
  const lost = (changes: Partial<SoakRecord>) =>
    violatedBy({ answers: [cut], arrivals: [], ...changes }).includes(
      "notLost",
    );
  assert.ok(!lost({ faults: [stop] }));
  assert.ok(lost({ faults: [] }));
  assert.ok(lost({ faults: [{ ...stop, router: 1 }] }));
  assert.ok(lost({ faults: [{ ...stop, to: 19_999 }] }));
  assert.ok(lost({ faults: [stop], arrivals: [arrival({ hasRun: false })] }));
  assert.ok(lost({ faults: [stop], answers: [{ ...cut, endedAt: 20_201 }] }));
  // Its body was never sent whole (seed 742).
  const unsent = { ...cut, bodySentAt: Infinity, endedAt: 20_300 };
  assert.ok(!lost({ faults: [stop], answers: [unsent] }));
  assert.ok(lost({ faults: [], answers: [unsent] }));
});

const run = (changes: Partial<RecordedRun>): RecordedRun => ({
  requestId: "r",
  replica: "replica-1",
  endpoint: 1,
  startedAt: 20_000,
  workedUntil: 20_901,
  end: RunEnd.Closed,
  endedAt: undefined,
  ...changes,
});

const nextRun = (changes: Partial<RecordedRun> = {}): RecordedRun =>
  run({
    replica: "replica-2",
    endpoint: 2,
    startedAt: 20_500,
    workedUntil: 21_500,
    end: RunEnd.Whole,
    ...changes,
  });

const twiceBeside = (
  faults: readonly FaultSpan[],
  before: Partial<RecordedRun> = {},
): boolean => {
  const arrivals = [arrival({ service: "engines" })];
  const runs = [run(before), nextRun()];
  const answers = [
    answer({ requestType: RequestType.Stream, endedAt: 21_550 }),
  ];
  return violatedBy({ arrivals, runs, answers, faults }).includes("twice");
};

// Load: a stream that a slow machine makes longer than its stop (seed 706).
test("a stream that came early in a planned stop and outlasts it is a violation, and a late one is not", () => {
  const stop = span({
    type: "routerStopBesideBodies",
    router: 0,
    from: 20_000,
    to: 28_000,
  });
  const cutAnswer = answer({
    requestType: RequestType.Stream,
    bodySentAt: 23_500,
    endedAt: 27_500,
    outcome: { type: "cut", hasConnected: true },
  });
  const atWork = run({ workedUntil: 27_200 });
  const violated = (
    changes: Partial<CallerAnswer>,
    runs: readonly RecordedRun[] = [atWork],
  ) =>
    violatedBy({
      arrivals: [arrival({ service: "engines" })],
      runs,
      faults: [stop],
      answers: [{ ...cutAnswer, ...changes }],
    });
  const both = ["plannedStop", "notLost"];
  assert.deepEqual(violated({}), []);
  assert.deepEqual(violated({ bodySentAt: 23_501 }), both);
  assert.deepEqual(violated({}, [run({ workedUntil: 27_100 })]), both);
  assert.deepEqual(violated({ router: 1 }), ["notLost"]);
});

test("a stream that goes on while the replica before works on is a violation from 400 ms on", () => {
  assert.ok(twiceBeside([]));
  assert.ok(!twiceBeside([], { workedUntil: 20_900 }));
  assert.ok(twiceBeside([], { end: undefined }));
  assert.ok(!twiceBeside([], { replica: "replica-2" }));
  const arrivals = [arrival({ service: "engines" })];
  const answers = [answer({ requestType: RequestType.Stream })];
  const third = nextRun({ replica: "replica-3", startedAt: 21_000 });
  const runs = [
    run({ workedUntil: 20_600 }),
    nextRun({ workedUntil: 21_401 }),
    third,
  ];
  assert.deepEqual(violatedBy({ arrivals, answers, runs }), ["twice"]);
});

// Load: a stream that is asked for elsewhere speaks again just then (seed 7).
test("a run that was ended again within 400 ms counts as going on, and a later one does not count", () => {
  const arrivals = [arrival({ service: "engines" })];
  const answers = [
    answer({ requestType: RequestType.Stream, endedAt: 21_950 }),
  ];
  const before = run({ workedUntil: 21_900 });
  const inVain = nextRun({ workedUntil: 20_500, endedAt: 20_900 });
  const kept = nextRun({ workedUntil: 20_500, endedAt: 20_901 });
  const later = nextRun({ replica: "replica-3", startedAt: 21_000 });
  const violated = (runs: readonly RecordedRun[]) =>
    violatedBy({ arrivals, answers, runs });
  assert.deepEqual(violated([before, inVain]), []);
  assert.deepEqual(violated([before, kept]), ["twice"]);
  assert.deepEqual(violated([before, inVain, later]), ["twice"]);
});

test("a run beside the next one is excused by a fault of its router, its link or the store", () => {
  const types = [
    span({ type: "routerKill", router: 0 }),
    span({ type: "routerPause", router: 0 }),
    span({ type: "routerStop", router: 0 }),
    span({ type: "routerStartBeside", router: 0 }),
    span({ type: "storeCut", router: 0 }),
    span({ type: "storeBusy" }),
    span({ type: "linkReset", replica: 1 }),
    span({ type: "linkSilent", replica: 1 }),
    span({ type: "linkOneWay", replica: 1 }),
    span({ type: "openConnectionsSilent", replica: 1 }),
  ];
  for (const fault of types) {
    const { type } = fault;
    assert.ok(!twiceBeside([fault]), type);
    const ended = { ...fault, from: 10_000, to: 17_500 };
    assert.ok(twiceBeside([ended]), `${type} that ended 3 s before`);
    const later = { ...fault, from: 20_900, to: 21_000 };
    assert.ok(twiceBeside([later]), `${type} after the time allowed`);
    const atEnd = { ...fault, from: 20_899, to: 21_000 };
    assert.ok(!twiceBeside([atEnd]), `${type} within the time allowed`);
  }
});

test("a run beside the next one is not excused by a fault of another router or link, or by a second's silence", () => {
  const faults = [
    span({ type: "routerKill", router: 1 }),
    span({ type: "storeCut", router: 1 }),
    span({ type: "linkReset", replica: 2 }),
    span({ type: "openConnectionsSilent", replica: 2 }),
    span({ type: "replicaSilent", replica: 1 }),
    span({ type: "streamSilent", replica: 1 }),
    span({ type: "linkSlow", replica: 1 }),
    span({ type: "replicaCrash", replica: 2 }),
    span({ type: "routerHangUps", router: 0 }),
    span({ type: "configChange" }),
  ];
  assert.ok(twiceBeside(faults));
});

test("a run beside the next one is a violation once nothing excuses it any more", () => {
  const dead = span({
    type: "openConnectionsSilent",
    replica: 1,
    from: 20_100,
    to: 20_100,
  });
  const allowedUntil = 20_100 + 3000 + 400;
  assert.ok(!twiceBeside([dead], { workedUntil: allowedUntil }));
  assert.ok(twiceBeside([dead], { workedUntil: allowedUntil + 1 }));
  const pause = span({
    type: "routerPause",
    router: 0,
    from: 23_000,
    to: 24_000,
  });
  const both = [pause, dead];
  assert.ok(!twiceBeside(both, { workedUntil: 27_400 }));
  assert.ok(twiceBeside(both, { workedUntil: 27_401 }));
});

test("more memory or descriptors than the machine has are violations", () => {
  const used = { router: 0, life: 1, at: 1 };
  const within = { ...used, peakMemoryMb: 349, descriptorCount: 3900 };
  assert.deepEqual(violatedBy({ usages: [within] }), []);
  const large = { ...within, peakMemoryMb: 351 };
  const many = { ...within, descriptorCount: 3901 };
  assert.deepEqual(violatedBy({ usages: [large, many] }), [
    "memory",
    "descriptors",
  ]);
});
