/** Connections of callers that wait for their first or next request. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { promptly } from "@cardamomglade/common/testing/eventually";
import { RawCaller } from "./testing/rawCaller.js";
import {
  patientMs,
  patientRequestText,
  respondOk,
  startTestRelay,
} from "./testing/testRelay.js";

const request = patientRequestText("/check/x");
const shrinkMs = 3100; // heads keep the header timeout under which they began

// Load: a caller that opens its connections ahead of its requests.
test("the first request is refused on a connection opened longer ago than the header timeout", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.extendTimeouts();
  await relay.changeLimits({ headerTimeoutMs: 300, idleTimeoutMs: patientMs });
  await sleep(shrinkMs);
  const caller = RawCaller.create(relay.port);
  await sleep(1500);
  caller.send(request);
  await caller.waitFor(/hello$/);
  assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*hello$/);
});

// Load: callers that send the heads of their first requests byte by byte.
test("a slow first head is still ended after the header timeout", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.extendTimeouts();
  await relay.changeLimits({ headerTimeoutMs: 300, idleTimeoutMs: patientMs });
  await sleep(shrinkMs);
  const caller = RawCaller.create(relay.port);
  await sleep(1500);
  caller.send("GET /check/x HTTP/1.1\r\n");
  const isEnded = () => /^HTTP\/1.1 408 /.test(caller.text);
  await promptly(isEnded, "the end of the head", 1500);
});

test("a connection that never carries a request is closed after the idle timeout", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.extendTimeouts();
  await relay.changeLimits({ headerTimeoutMs: 300, idleTimeoutMs: 1000 });
  await sleep(shrinkMs);
  const caller = RawCaller.create(relay.port);
  await sleep(800);
  assert.equal(caller.isClosed, false);
  assert.ok(await caller.waitForClose(2500));
  assert.equal(caller.text, "");
});

/** Blocks the event loop, as a pause of the process does. */
const block = (ms: number): void => {
  const until = now() + ms;
  while (now() < until);
};

const idleEndMs = 1500; // timeout of 0.5 s, and the slack for a request under way
const maxTrialCount = 10;

/**
 * Sends a second request a while after a first one, and blocks the process over the
 * end of the idle time; checks its answer. Trials in which the process woke up after
 * that end show nothing; returns whether there was another one.
 */
const isSentBeforeIdleEnd = async (
  port: number,
  sendAfterMs: number,
  blockMs: number,
): Promise<boolean> => {
  for (let trial = 0; trial < maxTrialCount; trial += 1) {
    const caller = RawCaller.create(port);
    const startedAt = now();
    caller.send(request);
    await caller.waitFor(/hello$/);
    caller.text = "";
    await sleep(startedAt + sendAfterMs - now());
    const isInTime = now() - startedAt < idleEndMs;
    caller.send(request);
    block(blockMs);
    await caller.waitFor(/hello$/);
    if (!isInTime) continue;
    assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*hello$/);
    return true;
  }
  return false;
};

// Load: a pause of the relay over the end of an idle time, in which a request arrives.
test("a request that arrived before its idle connection is closed is lost", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.extendTimeouts();
  await relay.changeLimits({ idleTimeoutMs: 500 });
  assert.ok(await isSentBeforeIdleEnd(relay.port, 1250, 600));
});
