/** Connections on which a request follows while another one is answered. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { RawCaller } from "./testing/rawCaller.js";
import type { RawResponder } from "./testing/rawReplica.js";
import { requestText, respondOk, startTestRelay } from "./testing/testRelay.js";

const graceMs = 8000;
const request = requestText("/check/x").replace("budget: 1000", "budget: 5000");

const respondAfter =
  (ms: number): RawResponder =>
  (socket, text) => {
    setTimeout(() => {
      respondOk(socket, text);
    }, ms);
  };

const countOf = (text: string): number =>
  text.match(/HTTP\/1.1 200 OK/g)?.length ?? 0;

for (const [name, follows] of [
  ["a slow head follows it", request.slice(0, 30)],
  ["bytes follow it that are no request", "no request\r\n\r\n"],
] as const)
  test(`a request loses its answer because ${name}`, async (t) => {
    const relay = await startTestRelay(respondAfter(850));
    t.after(relay.stop);
    await relay.changeLimits({ headerTimeoutMs: 100 });
    await sleep(3100); // heads keep the header timeout under which they began
    const caller = RawCaller.create(relay.port);
    caller.send(request);
    await sleep(100);
    caller.send(follows);
    await caller.waitFor(/hello/);
    assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*hello/);
    assert.ok(await caller.waitFor(/helloHTTP\/1.1 40[08] /));
    assert.ok(await caller.waitForClose(3000));
  });

test("a slow head that ends while the request before is answered gets no answer", async (t) => {
  const relay = await startTestRelay(respondAfter(850));
  t.after(relay.stop);
  await relay.changeLimits({ headerTimeoutMs: 100 });
  await sleep(3100);
  const caller = RawCaller.create(relay.port);
  caller.send(request);
  await sleep(100);
  caller.send(request.slice(0, 30));
  await sleep(640);
  caller.send(request.slice(30));
  await caller.waitFor(/hello[^]*hello$/, 4000);
  assert.equal(countOf(caller.text), 2);
});

test("a request that follows another at once gets no answer from a relay that stops", async (t) => {
  const { port, relay, replica } = await startTestRelay(respondAfter(500));
  t.after(replica.stop);
  const caller = RawCaller.create(port);
  const drained = relay.drain(now() + graceMs);
  await sleep(100);
  caller.send(request + request);
  await caller.waitFor(/hello[^]*hello$/);
  assert.equal(countOf(caller.text), 2);
  assert.equal(caller.text.match(/connection: close/gi)?.length, 1);
  caller.socket.destroy();
  await drained;
});
