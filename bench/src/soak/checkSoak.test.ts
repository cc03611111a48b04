import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import {
  RequestType,
  type Arrival,
  type CallerAnswer,
  type FaultSpan,
  type SoakRecord,
} from "./types.js";

const answer = (changes: Partial<CallerAnswer>): CallerAnswer => ({
  requestId: "r",
  requestType: RequestType.Booking,
  router: 0,
  life: 1,
  keyVersion: 0,
  sentAt: 20_000,
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
  from: 19_000,
  to: 21_000,
  ...changes,
});

const record = (changes: Partial<SoakRecord>): SoakRecord => ({
  arrivals: [arrival()],
  answers: [answer({})],
  versions: [{ version: 1, at: 0, service: "desk-1" }],
  leaving: [],
  faults: [],
  ownEnds: [],
  calmFrom: 60_000,
  ...changes,
});

const brokenBy = (changes: Partial<SoakRecord>): string[] =>
  checkSoak(record(changes)).map(({ promise }) => promise);

const twoVersions = [
  { version: 1, at: 0, service: "desk-1" },
  { version: 2, at: 10_000, service: "desk-0" },
];

test("a sound record breaks nothing", () => {
  assert.deepEqual(brokenBy({}), []);
});

test("a booking that ran twice is found, a check that did is not", () => {
  const arrivals = [arrival(), arrival({ replica: "replica-2" })];
  assert.deepEqual(brokenBy({ arrivals }), ["once"]);
  const answers = [answer({ requestType: RequestType.Check })];
  assert.deepEqual(brokenBy({ arrivals, answers }), []);
});

test("a refusal of a booking that ran is found", () => {
  const answers = [answer({ outcome: { type: "answered", status: 503 } })];
  assert.deepEqual(brokenBy({ answers }), ["notRun"]);
  const arrivals = [arrival({ hasRun: false })];
  assert.deepEqual(brokenBy({ answers, arrivals }), []);
});

test("bytes of another answer are found", () => {
  const answers = [answer({ faults: ["bytes of another answer"] })];
  assert.deepEqual(brokenBy({ answers }), ["ownAnswer"]);
});

test("a request without an answer is found, unless its router was paused", () => {
  const answers = [answer({ outcome: { type: "silent" }, endedAt: 23_500 })];
  assert.deepEqual(brokenBy({ answers }), ["ownAnswer"]);
  const faults = [span({ type: "routerPause", router: 0 })];
  assert.deepEqual(brokenBy({ answers, faults }), []);
});

test("a stream at a desk is found", () => {
  const answers = [answer({ requestType: RequestType.Stream })];
  assert.deepEqual(brokenBy({ answers }), ["route"]);
});

test("an older version in force too long is found, unless the router was out of touch", () => {
  assert.deepEqual(brokenBy({ versions: twoVersions }), ["configuration"]);
  const faults = [span({ from: 9000, to: 18_000 })];
  assert.deepEqual(brokenBy({ versions: twoVersions, faults }), []);
});

test("a key that was taken away and a valid key that is denied are found", () => {
  const arrivals = [arrival({ service: "desk-0" })];
  const taken = [answer({ keyVersion: 1 })];
  assert.deepEqual(
    brokenBy({ versions: twoVersions, arrivals, answers: taken }),
    ["configuration"],
  );
  const denied = [answer({ outcome: { type: "answered", status: 401 } })];
  assert.deepEqual(brokenBy({ arrivals: [], answers: denied }), [
    "configuration",
  ]);
});

test("a process that goes back to an older version is found", () => {
  const answers = [
    answer({ requestId: "a", keyVersion: 2, sentAt: 10_500, endedAt: 10_600 }),
    answer({ requestId: "b", keyVersion: 1, sentAt: 11_000, endedAt: 11_100 }),
  ];
  const arrivals = [
    arrival({ requestId: "a", service: "desk-0", at: 10_550 }),
    arrival({ requestId: "b", at: 11_050 }),
  ];
  assert.deepEqual(brokenBy({ versions: twoVersions, arrivals, answers }), [
    "configuration",
  ]);
});

test("new work at a leaving replica is found", () => {
  const leaving = [{ replica: "replica-1", at: 17_000 }];
  assert.deepEqual(brokenBy({ leaving }), ["leaving"]);
  assert.deepEqual(
    brokenBy({ leaving: [{ replica: "replica-1", at: 18_500 }] }),
    [],
  );
});

test("a caller cut off by a planned stop is found, unless something else broke", () => {
  const answers = [answer({ outcome: { type: "cut", hasConnected: true } })];
  const stop = span({ type: "routerStop", router: 0 });
  assert.deepEqual(brokenBy({ answers, faults: [stop] }), ["plannedStop"]);
  const crash = span({ type: "replicaCrash" });
  assert.deepEqual(brokenBy({ answers, faults: [stop, crash] }), []);
});

test("repeats beyond the fleet's budget are found", () => {
  const arrivals = Array.from({ length: 70 }, () => arrival({ hasRun: false }));
  const broken = new Set(brokenBy({ arrivals }));
  assert.deepEqual([...broken], ["repeats"]);
  assert.deepEqual(brokenBy({ arrivals: arrivals.slice(0, 50) }), []);
  const continued = arrivals.map((one) => ({ ...one, isContinued: true }));
  assert.deepEqual(brokenBy({ arrivals: continued }), []);
});

test("a failed request in the calm and a process that ended by itself are found", () => {
  const answers = [answer({ outcome: { type: "answered", status: 500 } })];
  assert.deepEqual(brokenBy({ answers, calmFrom: 15_000 }), ["recovery"]);
  const ownEnds = [{ router: 0, at: 1, code: 1 }];
  assert.deepEqual(brokenBy({ ownEnds }), ["staysUp"]);
});
