import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { RawCaller } from "./testing/rawCaller.js";
import {
  exchange,
  patientMs,
  patientRequestText,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const graceMs = 30_000; // a stop ends as soon as nothing is under way
const shortGraceMs = 2400;
// The relay listens for 2.5 s; a timer may be late by half a second.
const beforeNoticeEndsMs = 2000;
const pastNoticeEndMs = 1000;
const requestIntervalMs = 3;

// Load: a caller whose body is still on its way when the stop begins.
test("a request whose body is half sent when the relay stops is answered", async () => {
  const { port, relay, extendTimeouts } = await startTestRelay(respondOk);
  await extendTimeouts();
  let text = "";
  const socket = connect(port, "127.0.0.1");
  socket.on("data", (chunk) => (text += chunk.toString("latin1")));
  socket.on("error", () => undefined);
  const headers = ["content-length: 6"];
  const head = requestText("/book/x", headers, "POST", "abc", patientMs);
  const drained = relay.drain(now() + graceMs);
  // Before the relay stops listening, and the body ends after that.
  await sleep(beforeNoticeEndsMs);
  socket.write(head);
  await sleep(pastNoticeEndMs);
  socket.write("def");
  await drained;
  await sleep(50);
  assert.match(text, /^HTTP\/1.1 200 OK[^]*hello$/);
});

// Load: a caller that reads its long answer slowly over the whole stop.
test("an answer that its caller has not read yet is not cut by a stop", async () => {
  const bytes = 8 * 1024 * 1024;
  const { port, relay, extendTimeouts } = await startTestRelay((socket) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealed}content-length: ${String(bytes)}\r\n\r\n`,
    );
    socket.end(Buffer.alloc(bytes, "x"));
  });
  await extendTimeouts();
  let received = 0;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  socket.write(patientRequestText("/book/x"));
  socket.pause();
  await sleep(300);
  const drained = relay.drain(now() + graceMs);
  await sleep(3200);
  socket.on("data", (chunk) => (received += chunk.length));
  socket.resume();
  await drained;
  await sleep(50);
  assert.ok(received > bytes, `${String(received)} of ${String(bytes)} bytes`);
});

const knownCount = 30;

/** Lets the relay learn how long answers take; returns how many it got. */
const answerAtOnce = async (port: number): Promise<number> => {
  const request = patientRequestText("/book/x", ["connection: close"]);
  const texts = await Promise.all(
    Array.from({ length: knownCount }, () =>
      exchange(port, request, patientMs),
    ),
  );
  assert.ok(texts.every((text) => text.endsWith("hello")));
  return texts.length;
};

// Load: new requests up to the last moment before the relay no longer listens.
test("every request that is accepted while the relay stops is answered", async (t) => {
  const { port, relay, replica, extendTimeouts } = await startTestRelay(
    (socket, text) => {
      setTimeout(() => {
        respondOk(socket, text);
      }, 30);
    },
  );
  await extendTimeouts();
  const known = await answerAtOnce(port);
  const answers: Promise<string>[] = [];
  const startedAt = now();
  const timer = setInterval(() => {
    // Timers that come late leave out none.
    const dueCount = (now() - startedAt) / requestIntervalMs;
    while (answers.length < dueCount)
      answers.push(exchange(port, patientRequestText("/book/x"), patientMs));
  }, requestIntervalMs);
  t.after(() => {
    clearInterval(timer);
  });
  await relay.drain(startedAt + graceMs);
  clearInterval(timer);
  const texts = await Promise.all(answers);
  const answered = texts.filter((text) => text.endsWith("hello"));
  const counts = new Map<string, number>();
  for (const text of texts) {
    const end = text.endsWith("hello") ? "whole" : text.slice(0, 12);
    counts.set(end, (counts.get(end) ?? 0) + 1);
  }
  // A connection that was never accepted is closed without a byte.
  for (const text of texts) assert.match(text, /^$|hello$/);
  assert.ok(answered.length > 300, JSON.stringify([...counts]));
  const passedOn = replica.received.filter((text) => text.length > 0);
  assert.equal(passedOn.length, known + answered.length);
});

// Load: a short grace, kept connections and new ones, a replica that takes most of a second.
test("requests that come late in a short grace are passed on and cut", async (t) => {
  const { port, relay, replica, stop, extendTimeouts } = await startTestRelay(
    (socket, text) => {
      setTimeout(() => {
        respondOk(socket, text);
      }, 900);
    },
  );
  t.after(stop);
  await extendTimeouts();
  const known = await answerAtOnce(port);
  const drained = relay.drain(now() + shortGraceMs);
  const lateMs = [200, 700, 1200, 1700, 1900, 2200];
  const answers = await Promise.all(
    lateMs.map(async (ms) => {
      await sleep(ms);
      const request = patientRequestText("/book/x", ["connection: close"]);
      return exchange(port, request, patientMs);
    }),
  );
  await drained;
  const ends = answers.map((text) =>
    text.endsWith("hello") ? "whole" : text.slice(9, 12),
  );
  const passedOn = replica.received.filter((text) => text.length > 0);
  const wholeCount = ends.filter((end) => end === "whole").length;
  assert.equal(passedOn.length, wholeCount + known, ends.join(" "));
  assert.ok(wholeCount >= 2, ends.join(" "));
  // A connection that is not accepted any more is closed without a byte.
  const others = ends.filter((end) => !["whole", "503", ""].includes(end));
  assert.deepEqual(others, []);
});

// Load: a caller whose head is half sent when the relay stops listening.
test("a request whose head is half sent when the relay stops is cut", async (t) => {
  const { port, relay, stop, extendTimeouts } = await startTestRelay(respondOk);
  t.after(stop);
  await extendTimeouts();
  const caller = RawCaller.create(port);
  const text = patientRequestText("/book/x");
  const drained = relay.drain(now() + graceMs);
  await sleep(beforeNoticeEndsMs);
  caller.send(text.slice(0, 30));
  await sleep(pastNoticeEndMs);
  caller.send(text.slice(30));
  await drained;
  await sleep(50);
  assert.match(caller.text, /^HTTP\/1.1 200 OK[^]*hello$/);
});

// Load: callers on kept connections, all the time, while the process is held up.
test("a request that arrived before a stop closes its connection is lost", async (t) => {
  const { port, relay, stop, extendTimeouts } = await startTestRelay(respondOk);
  t.after(stop);
  await extendTimeouts();
  const request = patientRequestText("/check/x");
  const callers = Array.from({ length: 10 }, () => RawCaller.create(port));
  for (const caller of callers) caller.send(request);
  for (const caller of callers) await caller.waitFor(/hello$/);
  const drained = relay.drain(now() + graceMs);
  await sleep(beforeNoticeEndsMs);
  for (const caller of callers) caller.send(request);
  const heldUntil = now() + pastNoticeEndMs;
  while (now() < heldUntil);
  await drained;
  await sleep(50);
  for (const { text } of callers) assert.match(text, /hello[^]*hello$/);
});
