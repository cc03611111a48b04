/** Streams whose callers read late, from replicas that cut off what is left unread. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { RawCaller } from "./testing/rawCaller.js";
import type { RawResponder } from "./testing/rawReplica.js";
import { engines } from "./testing/scenario.js";
import {
  patientRequestText,
  sealed,
  startTestRelay,
  withReports,
} from "./testing/testRelay.js";

const eventCount = 60;
const dataBytes = 32 * 1024;
const unreadMs = 500; // after which the replica cuts off
const lateMs = 2000;

const eventOf = (id: number): string =>
  `id: ${String(id)}\ndata: ${"x".repeat(dataBytes)}\n\n`;

/** Streams at once, and closes the connection if something is left unread for a while. */
const cutOffUnread: RawResponder = (socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
  for (let id = 1; id <= eventCount; id += 1) {
    const event = eventOf(id);
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  }
  setTimeout(() => {
    if (socket.writableLength > 0) socket.destroy();
    else socket.end("0\r\n\r\n");
  }, unreadMs);
};

// Load: a caller reads nothing for longer than its replica waits.
test("a stream is cut off by its replica because its caller reads late", async (t) => {
  const { port, replica, stop } = await startTestRelay(
    withReports(cutOffUnread),
    engines,
    ["a-1"],
  );
  t.after(stop);
  const caller = RawCaller.create(port);
  caller.socket.pause();
  caller.send(patientRequestText("/stream/x", ["connection: close"]));
  await sleep(lateMs);
  caller.socket.resume();
  assert.ok(await caller.waitFor(/0\r\n\r\n$/));
  const ids = [...caller.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
  const all = Array.from({ length: eventCount }, (_, index) =>
    String(index + 1),
  );
  assert.deepEqual(ids, all);
  const runs = replica.received.filter((text) => text.includes("/stream/x"));
  assert.equal(runs.length, 1);
});
