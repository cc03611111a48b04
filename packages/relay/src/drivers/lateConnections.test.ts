/** Connections to replicas that are established while this process is held up. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { startRawReplica } from "../testing/rawReplica.js";
import { testReplica, testRequest } from "../testing/scenario.js";
import { testAttempt } from "../testing/testAttempt.js";
import { testProtocol } from "../testing/testProtocol.js";
import { respondOk } from "../testing/testRelay.js";
import { ReplicaCall } from "./replicaCall.js";

const heldMs = 400; // longer than a connection may take

const hold = (): void => {
  const until = now() + heldMs;
  while (now() < until);
};

// Load: a router that is held up, by its machine or by much work at once, as it sends a request.
test("a replica that accepts at once is taken for unreachable by a process that was held up", async (t) => {
  const running = await startRawReplica(respondOk);
  t.after(running.stop);
  const { port } = running;
  const replica = testReplica("a-1", "desk", { host: "127.0.0.1", port });
  const types: string[] = [];
  ReplicaCall.create(
    testProtocol,
    {
      type: "send",
      key: "1",
      attempt: testAttempt(replica),
      request: testRequest("r1", "/x", now()),
      customer: undefined,
      priority: undefined,
      deadline: now() + 20_000,
      lastEventId: undefined,
      isStreamExpected: false,
    },
    ({ type }) => types.push(type),
  );
  hold();
  await eventually(
    () => types.includes("responseReceived") || types.includes("attemptFailed"),
    "the end of the attempt",
  );
  assert.deepEqual(types, ["connectionOpened", "responseReceived"]);
});
