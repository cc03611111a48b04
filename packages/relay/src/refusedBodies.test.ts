/** Refusals of requests whose body is still on its way. */

import assert from "node:assert/strict";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { test } from "node:test";
import { RawCaller } from "./testing/rawCaller.js";
import { requestText, respondOk, startTestRelay } from "./testing/testRelay.js";

const bodyBytes = 8_000_000;
const part = "x".repeat(50_000);

/** Sends a body in parts, one a turn of the event loop, reading nothing until it is sent. */
const sendInParts = async (caller: RawCaller, bytes: number): Promise<void> => {
  for (let sent = 0; sent < bytes; sent += part.length) {
    if (caller.isClosed) return;
    caller.send(part);
    await nextTurn();
  }
};

const headOf = (...headers: string[]): string =>
  requestText("/book/x", headers, "POST");

for (const [name, headers] of [
  ["a length", [`content-length: ${String(bodyBytes)}`]],
  [
    "a length and expect",
    [`content-length: ${String(bodyBytes)}`, "expect: 100-continue"],
  ],
] as const)
  test(`the refusal of a body with ${name} that is too long is lost to a reset`, async (t) => {
    const relay = await startTestRelay(respondOk);
    t.after(relay.stop);
    const caller = RawCaller.create(relay.port);
    caller.send(headOf(...headers));
    caller.socket.pause();
    await sendInParts(caller, bodyBytes);
    caller.socket.resume();
    assert.ok(await caller.waitFor(/HTTP\/1.1 413 [^]*too long/));
    assert.ok(await caller.waitForClose(3000));
    assert.equal(caller.error, undefined);
  });

test("the refusal of a chunked body that is too long is lost to a reset", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ bodyBytes: 500_000 });
  const caller = RawCaller.create(relay.port);
  caller.send(headOf("transfer-encoding: chunked"));
  caller.socket.pause();
  for (let sent = 0; sent < 2_000_000; sent += part.length) {
    caller.send(`${part.length.toString(16)}\r\n${part}\r\n`);
    await nextTurn();
  }
  caller.send("0\r\n\r\n");
  caller.socket.resume();
  assert.ok(await caller.waitFor(/^HTTP\/1.1 413 [^]*too long/));
  assert.equal(caller.error, undefined);
});

test("a body that is known to be too long is asked for", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  const length = `content-length: ${String(bodyBytes)}`;
  caller.send(headOf(length, "expect: 100-continue"));
  assert.ok(await caller.waitFor(/HTTP\/1.1 413 /, 1000));
  assert.doesNotMatch(caller.text, /100 Continue/);
});

test("a body that is waited for is not asked for", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  caller.send(headOf("content-length: 3", "expect: 100-continue"));
  assert.ok(await caller.waitFor(/^HTTP\/1.1 100 Continue\r\n\r\n$/, 1000));
  caller.send("abc");
  assert.ok(await caller.waitFor(/hello$/, 1000));
});

test("the refusal of a body that stopped arriving is lost to a reset", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ idleTimeoutMs: 500 });
  const caller = RawCaller.create(relay.port);
  caller.socket.pause();
  caller.send(headOf("content-length: 100000"));
  await sleep(700);
  caller.send(part);
  await sleep(100);
  caller.send(part);
  await sleep(100);
  caller.socket.resume();
  assert.ok(await caller.waitFor(/^HTTP\/1.1 408 [^]*in time/));
  assert.ok(await caller.waitForClose(3000));
  assert.equal(caller.error, undefined);
});

// Load: callers that go on sending whatever they are told.
test("a refused body is read without end", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  await relay.changeLimits({ bodyBytes: 10 });
  const caller = RawCaller.create(relay.port);
  caller.send(headOf("content-length: 1000000000"));
  const timer = setInterval(() => {
    if (!caller.isClosed) caller.send("zzzz");
  }, 20);
  t.after(() => {
    clearInterval(timer);
  });
  assert.ok(await caller.waitFor(/HTTP\/1.1 413 /));
  assert.ok(await caller.waitForClose(4000));
});
