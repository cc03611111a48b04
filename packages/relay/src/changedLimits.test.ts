/** Limits that change while connections of callers are open. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { RawCaller } from "./testing/rawCaller.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  patientMs,
  patientRequestText,
  requestText,
  respondOk,
  startTestRelay,
} from "./testing/testRelay.js";

const request = patientRequestText("/check/x");
const longHeadRequest = patientRequestText("/check/x", [
  `x-long: ${"y".repeat(5000)}`,
]);
const keptForLong = /Keep-Alive: timeout=20\r\n/; // patientMs
const whole = /HTTP\/1.1 200 OK[^]*hello$/;

const respondLate: RawResponder = (socket, text) => {
  setTimeout(() => {
    respondOk(socket, text);
  }, 600);
};

/** Starts a relay whose requests have more time than a busy machine needs. */
const startPatientRelay = async (respond: RawResponder) => {
  const relay = await startTestRelay(respond);
  await relay.extendTimeouts();
  return relay;
};

/** Sends a request on a kept connection and waits for its answer. */
const ask = async (caller: RawCaller, text: string): Promise<string> => {
  caller.text = "";
  caller.send(text);
  await caller.waitFor(/hello$/);
  return caller.text;
};

test("an idle connection is closed early when the idle timeout shrinks", async (t) => {
  const relay = await startPatientRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ idleTimeoutMs: patientMs });
  const caller = RawCaller.create(relay.port);
  const opened = RawCaller.create(relay.port);
  assert.match(await ask(caller, request), keptForLong);
  await relay.changeLimits({ idleTimeoutMs: 100 });
  await sleep(3000);
  assert.match(await ask(caller, request), whole);
  assert.match(await ask(opened, request), whole);
});

test("a connection is closed before the time in its answer when the idle timeout shrinks meanwhile", async (t) => {
  const relay = await startPatientRelay(respondLate);
  t.after(relay.stop);
  await relay.changeLimits({ idleTimeoutMs: patientMs });
  const caller = RawCaller.create(relay.port);
  const answer = ask(caller, request);
  await sleep(200);
  await relay.changeLimits({ idleTimeoutMs: 100 });
  assert.match(await answer, keptForLong);
  await sleep(2500);
  assert.match(await ask(caller, request), whole);
});

test("an idle connection is closed after the older, shorter idle timeout when it has grown", async (t) => {
  const relay = await startPatientRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ idleTimeoutMs: 500 });
  const caller = RawCaller.create(relay.port);
  const opened = RawCaller.create(relay.port);
  assert.match(await ask(caller, request), whole);
  await relay.changeLimits({ idleTimeoutMs: patientMs });
  await sleep(2500);
  assert.match(await ask(caller, request), whole);
  assert.match(await ask(opened, request), whole);
});

test("a head within a grown limit is refused on a connection opened before", async (t) => {
  const relay = await startPatientRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ headerBytes: 2000 });
  const caller = RawCaller.create(relay.port);
  const opened = RawCaller.create(relay.port);
  assert.match(await ask(caller, request), whole);
  await relay.changeLimits({ headerBytes: 8000 });
  assert.match(await ask(caller, longHeadRequest), whole);
  assert.match(await ask(opened, longHeadRequest), whole);
});

test("a head over a shrunk limit is taken on a connection opened before", async (t) => {
  const relay = await startPatientRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ headerBytes: 8000 });
  const caller = RawCaller.create(relay.port);
  assert.match(await ask(caller, request), whole);
  await relay.changeLimits({ headerBytes: 2000 });
  caller.text = "";
  caller.send(longHeadRequest);
  assert.ok(await caller.waitFor(/^HTTP\/1.1 431 /));
});

test("a head that has begun is refused early when the header timeout shrinks", async (t) => {
  const relay = await startPatientRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ headerTimeoutMs: 4000 });
  const caller = RawCaller.create(relay.port);
  caller.send(request.slice(0, 30));
  await sleep(1000);
  await relay.changeLimits({ headerTimeoutMs: 300 });
  await sleep(1000);
  assert.match(await ask(caller, request.slice(30)), whole);
});

for (const [name, before, after] of [
  ["shrinks", 200, 50],
  ["grows", 50, 200],
] as const)
  test(`a body that has begun is refused when the limit of bodies ${name}`, async (t) => {
    const relay = await startPatientRelay(respondOk);
    t.after(relay.stop);
    await relay.changeLimits({ bodyBytes: before });
    const caller = RawCaller.create(relay.port);
    const chunk = `28\r\n${"b".repeat(40)}\r\n`;
    const headers = ["transfer-encoding: chunked"];
    caller.send(requestText("/check/x", headers, "POST", chunk, patientMs));
    await sleep(100);
    await relay.changeLimits({ bodyBytes: after });
    assert.match(await ask(caller, `${chunk}0\r\n\r\n`), whole);
  });

// The pause is longer than the shorter timeout, and shorter than the other on a busy machine.
for (const [name, before, after] of [
  ["shrinks", patientMs, 100],
  ["grows", 1000, patientMs],
] as const)
  test(`a body that pauses is refused when the idle timeout ${name}`, async (t) => {
    const relay = await startPatientRelay(respondOk);
    t.after(relay.stop);
    await relay.changeLimits({ idleTimeoutMs: before });
    const caller = RawCaller.create(relay.port);
    const headers = ["content-length: 6"];
    caller.send(requestText("/check/x", headers, "POST", "abc", patientMs));
    await sleep(100);
    await relay.changeLimits({ idleTimeoutMs: after });
    await sleep(1500);
    assert.match(await ask(caller, "def"), whole);
  });
