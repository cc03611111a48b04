/** Calls whose connection or answer arrives while this process is held up. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { respondJson } from "../testing/testRelay.js";
import { startRawReplica } from "../testing/rawReplica.js";
import { httpCall } from "./httpCall.js";
import { CallPeer } from "./memory/controlBudgets.js";

const heldMs = 400;
const deadlineMs = 250;
const patientMs = 20_000;

const hold = (): void => {
  const until = now() + heldMs;
  while (now() < until);
};

const callOf = (port: number) => ({
  peer: CallPeer.Engine,
  host: "127.0.0.1",
  port,
  method: "GET" as const,
  path: "/",
});

// Load: a process that is held up, by its machine or by much work at once, as it asks another one.
test("a host that accepts at once is taken for unreachable by a process that was held up", async (t) => {
  const host = await startRawReplica((socket) => {
    socket.end(respondJson("{}"));
  });
  t.after(host.stop);
  const result = httpCall({
    ...callOf(host.port),
    deadline: now() + patientMs,
    connectDeadline: now() + deadlineMs,
  });
  hold();
  assert.equal((await result).type, "answered");
});

test("an answer that arrived in time is lost by a process that was held up", async (t) => {
  const host = await startRawReplica((socket) => {
    socket.end(respondJson("{}"), hold);
  });
  t.after(host.stop);
  const deadline = now() + deadlineMs;
  const result = await httpCall({ ...callOf(host.port), deadline });
  assert.equal(result.type, "answered");
});
