import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionOutcome, now, probeConnection } from "@cardamomglade/common";
import { testReplica, testRequest } from "../testing/scenario.js";
import { testAttempt } from "../testing/testAttempt.js";
import { testProtocol } from "../testing/testProtocol.js";
import type { Replica } from "../types.js";
import { httpCall } from "./httpCall.js";
import { CallPeer } from "./memory/controlBudgets.js";
import { ReplicaCall } from "./replicaCall.js";
import type { CallEvent } from "./replicaCalls/types.js";

const host = "127.0.0.1";
const badPort = 70_000;

test("a call to a port out of range rejects instead of failing", async () => {
  const result = await httpCall({
    peer: CallPeer.Store,
    host,
    port: badPort,
    method: "GET",
    path: "/",
    deadline: now() + 500,
  });
  assert.equal(result.type, "failed");
});

test("a call with a path that cannot be sent rejects instead of failing", async () => {
  const path = "/a b\n";
  const deadline = now() + 500;
  const result = await httpCall({
    peer: CallPeer.Store,
    host,
    port: 9,
    method: "GET",
    path,
    deadline,
  });
  assert.equal(result.type, "failed");
});

test("a probe of a port out of range rejects", async () => {
  const result = await probeConnection({ host, port: badPort }, 500);
  assert.equal(result, ConnectionOutcome.Failed);
});

const eventsOf = (replica: Replica): Promise<CallEvent> =>
  new Promise((resolve) => {
    ReplicaCall.create(
      testProtocol,
      {
        type: "send",
        key: "1",
        attempt: testAttempt(replica),
        request: testRequest("a", "/x", now()),
        customer: undefined,
        priority: undefined,
        deadline: now() + 1000,
        lastEventId: undefined,
        isStreamExpected: false,
      },
      resolve,
    );
  });

for (const [what, changes] of [
  ["a port out of range", { host, port: badPort }],
  ["an id that cannot be sent", { host, port: 9, id: "a\nb" }],
] as const)
  test(`a request to a replica with ${what} leaves its caller without an answer`, async () => {
    const event = await eventsOf({ ...testReplica("a-1"), ...changes });
    assert.equal(event.type === "attemptFailed" && event.failure, "notSent");
  });
