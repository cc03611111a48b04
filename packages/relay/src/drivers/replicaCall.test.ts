import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { startRawReplica } from "../testing/rawReplica.js";
import { testReplica, testRequest } from "../testing/scenario.js";
import { testAttempt } from "../testing/testAttempt.js";
import { testProtocol } from "../testing/testProtocol.js";
import { respondOk } from "../testing/testRelay.js";
import { ReplicaCall } from "./replicaCall.js";
import type { CallEvent } from "./replicaCalls/types.js";

const startCall = (port: number) => {
  const events: CallEvent[] = [];
  const replica = testReplica("a-1", "desk", { host: "127.0.0.1", port });
  const call = ReplicaCall.create(
    testProtocol,
    {
      type: "send",
      key: "1",
      attempt: testAttempt(replica),
      request: testRequest("r1", "/x", now()),
      customer: undefined,
      priority: undefined,
      deadline: now() + 1000,
      lastEventId: undefined,
      isStreamExpected: false,
    },
    (event) => events.push(event),
  );
  return { call, events };
};

test("a request that is given up before its connection is established is sent all the same", async (t) => {
  const replica = await startRawReplica(respondOk);
  t.after(replica.stop);
  const { call, events } = startCall(replica.port);
  call?.abandonUnconnected();
  await eventually(() => events.length > 0, "the end of the attempt");
  await sleep(50);
  assert.deepEqual(events, [
    { type: "attemptFailed", failure: "notSent", detail: "no path" },
  ]);
  assert.equal(replica.received.join(""), "");
});

test("a request that may have been sent is given up as not sent", async (t) => {
  const replica = await startRawReplica((socket, text) => {
    setTimeout(() => {
      respondOk(socket, text);
    }, 30);
  });
  t.after(replica.stop);
  const { call, events } = startCall(replica.port);
  await eventually(() => events.length > 0, "the connection");
  call?.abandonUnconnected();
  await eventually(() => events.length > 1, "the answer");
  await sleep(40);
  assert.deepEqual(
    events.map(({ type }) => type),
    ["connectionOpened", "responseReceived"],
  );
});
