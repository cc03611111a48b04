/** Refusals of heads that cannot be read. */

import assert from "node:assert/strict";
import { setImmediate as nextTurn } from "node:timers/promises";
import { test } from "node:test";
import { RawCaller } from "./testing/rawCaller.js";
import { respondOk, startTestRelay } from "./testing/testRelay.js";

test("the refusal of a head that is too long is lost to a reset", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  caller.socket.pause();
  const lines = `x-long: ${"y".repeat(5000)}\r\n`;
  caller.send("GET /check/x HTTP/1.1\r\n");
  for (let count = 0; count < 40; count += 1) {
    caller.send(lines);
    await nextTurn();
  }
  caller.socket.resume();
  assert.ok(await caller.waitFor(/^HTTP\/1.1 431 /));
  assert.ok(await caller.waitForClose(3000));
  assert.equal(caller.error, undefined);
});

// Load: callers that go on sending whatever they are told.
test("what follows a refused head is read without end", async (t) => {
  const relay = await startTestRelay(respondOk);
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  caller.socket.allowHalfOpen = true;
  caller.send("no head\r\n\r\n");
  const timer = setInterval(() => {
    if (!caller.isClosed) caller.send("z");
  }, 20);
  t.after(() => {
    clearInterval(timer);
  });
  assert.ok(await caller.waitFor(/^HTTP\/1.1 400 /));
  assert.ok(await caller.waitForClose(4000));
});
