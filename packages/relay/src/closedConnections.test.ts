/** Connections that end before the answer to a request that was read whole. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { RawCaller } from "./testing/rawCaller.js";
import {
  patientMs,
  patientRequestText,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const answerBytes = 16 * 1024 * 1024;
const line = "connection closed before the answer was sent";

test("a caller that leaves within its answer leaves no trace in the log", async (t) => {
  const relay = await startTestRelay((socket) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealed}content-length: ${String(answerBytes)}\r\n\r\n`,
    );
    socket.end(Buffer.alloc(answerBytes, "x"));
  });
  t.after(relay.stop);
  await relay.extendTimeouts();
  const caller = RawCaller.create(relay.port);
  caller.send(patientRequestText("/check/x"));
  caller.socket.once("data", () => caller.socket.pause());
  assert.ok(await caller.waitFor(/200 OK/, patientMs));
  caller.socket.destroy();
  await eventually(() => relay.lines.includes(line), "the line of the log");
  await sleep(200);
  assert.equal(relay.lines.filter((text) => text === line).length, 1);
});
