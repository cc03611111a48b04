/** Requests that wait on their connection for the answers to earlier ones. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { eventually, promptly } from "@cardamomglade/common/testing/eventually";
import { measureStalls } from "@cardamomglade/common/testing/measureStalls";
import { RawCaller } from "./testing/rawCaller.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  exchange,
  patientRequestText,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const graceMs = 6000;
const shortGraceMs = 1000; // the route's timeout comes later
const noticeMs = 2500;
const leftWithinMs = 300;
const request = patientRequestText("/check/x");

/** A relay whose replica answers nothing, with the replica's connections that are open. */
const startWithSilentReplica = async () => {
  const open = new Set<Socket>();
  const relay = await startTestRelay((socket) => {
    open.add(socket);
    socket.on("close", () => open.delete(socket));
  });
  await relay.extendTimeouts();
  return { relay, open };
};

// Load: callers that send several requests at once, and leave.
test("a replica works on for a caller that left while its request waited behind another one", async (t) => {
  const { relay, open } = await startWithSilentReplica();
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  caller.send(request + request);
  await eventually(() => open.size === 2, "the replica has both requests");
  caller.socket.destroy();
  await promptly(() => open.size === 0, "leaving the replica", leftWithinMs);
});

// Load: the same before a planned stop.
test("a relay waits until the end of its grace for the request of a caller that left", async (t) => {
  const { relay, open } = await startWithSilentReplica();
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  caller.send(request + request);
  await eventually(() => open.size === 2, "the replica has both requests");
  caller.socket.destroy();
  await sleep(100);
  const { stalledMs } = measureStalls();
  const startedAt = now();
  await relay.relay.drain(startedAt + graceMs);
  assert.ok(now() - startedAt - stalledMs() < noticeMs + 500);
});

const answerSlowly: RawResponder = (socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
  setTimeout(() => {
    socket.end("0\r\n\r\n");
  }, 400);
};

// Load: a caller that sends on while the last answer before a stop arrives.
test("a request behind the answer that closes its connection is passed on and gets no answer", async (t) => {
  const { port, relay, replica, stop } = await startTestRelay(answerSlowly);
  t.after(stop);
  const caller = RawCaller.create(port);
  const drained = relay.drain(now() + graceMs);
  caller.send(request);
  assert.ok(await caller.waitFor(/connection: close/i));
  caller.send(request);
  assert.ok(await caller.waitForClose(2000));
  assert.equal(replica.received.length, 1);
  await drained;
});

const streamHead = `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
const streamHeadMs = 200;

/** Answers the second request with a stream of a given length, after a while, and others at once. */
const streamSecond = (streamMs: number): RawResponder => {
  let count = 0;
  return (socket, text) => {
    count += 1;
    if (count !== 2) {
      respondOk(socket, text);
      return;
    }
    setTimeout(() => socket.write(streamHead), streamHeadMs);
    setTimeout(() => socket.end("0\r\n\r\n"), streamMs);
  };
};

// Load: a caller that sends two requests at once in a stop, the first one for a long stream.
test("a request behind a stream that outlasts a stop is passed on and gets no answer", async (t) => {
  const { port, relay, replica, lines, stop } = await startTestRelay(
    streamSecond(2 * graceMs),
  );
  t.after(stop);
  await exchange(port, request); // until the relay knows that answers are short
  const caller = RawCaller.create(port);
  const drained = relay.drain(now() + shortGraceMs);
  await sleep(50); // until the drain has begun
  caller.send(request + request);
  await drained;
  await sleep(50);
  assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*event-stream/);
  assert.equal(replica.received.length, 2);
  assert.ok(lines.includes("request dropped: its connection closes"));
});

test("a request behind a short stream in a stop gets no answer", async (t) => {
  const { port, relay, stop } = await startTestRelay(streamSecond(500));
  t.after(stop);
  await exchange(port, request); // until the relay knows that answers are short
  const caller = RawCaller.create(port);
  const drained = relay.drain(now() + shortGraceMs);
  await sleep(50); // until the drain has begun
  caller.send(request + request);
  await drained;
  await sleep(50);
  assert.match(
    caller.text,
    /^HTTP\/1.1 200 [^]*0\r\n\r\nHTTP\/1.1 200 [^]*hello$/,
  );
});

// Load: requests behind one that is refused unread.
test("a request behind a refusal that closes its connection is passed on and gets no answer", async (t) => {
  const { relay, open } = await startWithSilentReplica();
  t.after(relay.stop);
  const caller = RawCaller.create(relay.port);
  const long = requestText("/check/x", [`x-long: ${"l".repeat(20_000)}`]);
  caller.send(long + request);
  assert.ok(await caller.waitFor(/^HTTP\/1.1 431 /));
  assert.ok(await caller.waitForClose(2000));
  assert.equal(open.size, 0);
  assert.equal(relay.replica.received.length, 0);
});

// Load: a caller that sends a whole request and one that is refused in one packet.
for (const [name, refused, status] of [
  [
    "whose head is too long",
    requestText("/check/x", [`x-long: ${"x".repeat(20_000)}`]),
    /431/,
  ],
  [
    "whose body is announced as too long",
    requestText("/check/x", ["content-length: 999999999"], "POST"),
    /413/,
  ],
] as const)
  test(`a request before one ${name} in one packet gets no answer`, async (t) => {
    const relay = await startTestRelay(respondOk);
    t.after(relay.stop);
    const caller = RawCaller.create(relay.port);
    caller.send(requestText("/check/x") + refused);
    assert.ok(await caller.waitFor(/200 OK/));
    assert.ok(await caller.waitFor(status));
  });
