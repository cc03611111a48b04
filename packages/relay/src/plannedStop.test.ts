import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { RawCaller } from "./testing/rawCaller.js";
import {
  exchange,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const graceMs = 6000;
const shortGraceMs = 2400;

// Load: a caller whose body is still on its way when the stop begins.
test("a request whose body is half sent when the relay stops is answered", async () => {
  const { port, relay, replica } = await startTestRelay(respondOk);
  let text = "";
  const socket = connect(port, "127.0.0.1");
  socket.on("data", (chunk) => (text += chunk.toString("latin1")));
  socket.on("error", () => undefined);
  const head = requestText("/book/x", ["content-length: 6"], "POST", "abc");
  const drained = relay.drain(now() + graceMs);
  // Just before the relay stops listening, so that the body ends after that.
  await sleep(2300);
  socket.write(head);
  await sleep(500);
  socket.write("def");
  await drained;
  await sleep(50);
  assert.match(text, /^HTTP\/1.1 200 OK[^]*hello$/);
  replica.stop();
});

// Load: a caller that reads its long answer slowly over the whole stop.
test("an answer that its caller has not read yet is not cut by a stop", async () => {
  const bytes = 8 * 1024 * 1024;
  const { port, relay, replica } = await startTestRelay((socket) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealed}content-length: ${String(bytes)}\r\n\r\n`,
    );
    socket.end(Buffer.alloc(bytes, "x"));
  });
  let received = 0;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  socket.write(requestText("/book/x"));
  socket.pause();
  await sleep(300);
  const drained = relay.drain(now() + graceMs);
  await sleep(3200);
  socket.on("data", (chunk) => (received += chunk.length));
  socket.resume();
  await drained;
  await sleep(50);
  assert.ok(received > bytes, `${String(received)} of ${String(bytes)} bytes`);
  replica.stop();
});

// Load: new requests up to the last moment before the relay no longer listens.
test("every request that is accepted while the relay stops is answered", async () => {
  const { port, relay, replica } = await startTestRelay((socket, text) => {
    setTimeout(() => {
      respondOk(socket, text);
    }, 30);
  });
  const answers: Promise<string>[] = [];
  const timer = setInterval(() => {
    answers.push(exchange(port, requestText("/book/x"), 1500));
  }, 3);
  const drained = relay.drain(now() + graceMs);
  await drained;
  clearInterval(timer);
  const texts = await Promise.all(answers);
  const answered = texts.filter((text) => text.endsWith("hello"));
  assert.ok(answered.length > 300);
  // A connection that was never accepted is closed without a byte.
  for (const text of texts) assert.match(text, /^$|hello$/);
  const passedOn = replica.received.filter((text) => text.length > 0);
  assert.equal(passedOn.length, answered.length);
  replica.stop();
});

// Load: a short grace, kept connections and new ones, a replica that takes most of a second.
test("requests that come late in a short grace are passed on and cut", async (t) => {
  const { port, relay, replica, stop } = await startTestRelay(
    (socket, text) => {
      setTimeout(() => {
        respondOk(socket, text);
      }, 900);
    },
  );
  t.after(stop);
  const known = await Promise.all(
    Array.from({ length: 30 }, () =>
      exchange(port, requestText("/book/x"), 1500),
    ),
  );
  assert.ok(known.every((text) => text.endsWith("hello")));
  const drained = relay.drain(now() + shortGraceMs);
  const lateMs = [200, 700, 1200, 1700, 1900, 2200];
  const answers = await Promise.all(
    lateMs.map(async (ms) => {
      await sleep(ms);
      return exchange(port, requestText("/book/x"), 3000);
    }),
  );
  await drained;
  const ends = answers.map((text) =>
    text.endsWith("hello") ? "whole" : text.slice(9, 12),
  );
  const passedOn = replica.received.filter((text) => text.length > 0);
  const wholeCount = ends.filter((end) => end === "whole").length;
  assert.equal(passedOn.length, wholeCount + 30, ends.join(" "));
  assert.ok(wholeCount >= 2, ends.join(" "));
  // A connection that is not accepted any more is closed without a byte.
  const others = ends.filter((end) => !["whole", "503", ""].includes(end));
  assert.deepEqual(others, []);
});

// Load: a caller whose head is half sent when the relay stops listening.
test("a request whose head is half sent when the relay stops is cut", async (t) => {
  const { port, relay, replica } = await startTestRelay(respondOk);
  const caller = RawCaller.create(port);
  const text = requestText("/book/x");
  t.after(replica.stop);
  const drained = relay.drain(now() + graceMs);
  await sleep(2300);
  caller.send(text.slice(0, 30));
  await sleep(700);
  caller.send(text.slice(30));
  await drained;
  await sleep(50);
  assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*hello$/);
});

// Load: callers on kept connections, all the time, while the process is held up.
test("a request that arrived before a stop closes its connection is lost", async (t) => {
  const { port, relay, replica } = await startTestRelay(respondOk);
  const callers = Array.from({ length: 10 }, () => RawCaller.create(port));
  for (const caller of callers) caller.send(requestText("/check/x"));
  for (const caller of callers) await caller.waitFor(/hello$/);
  t.after(replica.stop);
  const drained = relay.drain(now() + graceMs);
  await sleep(2440);
  for (const caller of callers) caller.send(requestText("/check/x"));
  const heldUntil = now() + 200;
  while (now() < heldUntil);
  await drained;
  await sleep(50);
  for (const { text } of callers) assert.match(text, /hello[^]*hello$/);
});
