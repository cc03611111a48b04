import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";
import { startRelayPair } from "./testing/relayPair.js";
import type { RawResponder } from "./testing/rawReplica.js";
import { engines, plainService } from "./testing/scenario.js";
import { sendUndisturbed } from "./testing/sendUndisturbed.js";
import {
  exchange,
  isReportRequest,
  patientMs,
  patientRequestText,
  requestText,
  respondJson,
  respondOk,
  sealed,
  startTestRelay,
  type TestRelay,
} from "./testing/testRelay.js";

const waitMs = 1500;

const once = (path: string): string => requestText(path, ["connection: close"]);

const turnAway =
  (retryAfter: string, extra = "x-not-run: 1\r\n"): RawResponder =>
  (socket) => {
    socket.end(
      `HTTP/1.1 503 Full\r\n${sealed}${extra}retry-after: ${retryAfter}\r\ncontent-length: 0\r\n\r\n`,
    );
  };

const start = async (
  t: TestContext,
  answer: RawResponder,
  service = plainService,
): Promise<TestRelay> => {
  const relay = await startTestRelay(answer, service);
  t.after(relay.stop);
  return relay;
};

const delayMsOf = (answer: string): number =>
  1000 * Number(/^retry-after: ([\d.]+)\r$/im.exec(answer)?.[1]);

// Load: a replica in need names a time, in each form that HTTP allows.
test("a replica that answers 503 with a time gets the next request before it", async (t) => {
  const soon = new Date(now() + 20_000).toUTCString();
  for (const retryAfter of ["1.5", "20", soon]) {
    const { port, replica, lines } = await start(t, turnAway(retryAfter));
    await exchange(port, once("/check/x"), waitMs);
    const answer = await exchange(port, once("/book/x"), waitMs);
    assert.match(answer, /^HTTP\/1.1 503/);
    assert.ok(delayMsOf(answer) > 1000, answer);
    assert.equal(replica.received.length, 1);
    assert.ok(lines.includes("replica wants no requests"));
  }
});

test("a replica that named a time is not asked again after it", async (t) => {
  let count = 0;
  const { port, replica } = await start(t, (socket, text) => {
    count += 1;
    (count === 1 ? turnAway("0.6") : respondOk)(socket, text);
  });
  await exchange(port, once("/book/x"), waitMs);
  await exchange(port, once("/book/x"), waitMs);
  assert.equal(replica.received.length, 1);
  await sleep(700);
  assert.match(await exchange(port, once("/book/x"), waitMs), /^HTTP\/1.1 200/);
});

test("a failure that names a time is not heeded", async (t) => {
  const { port, replica } = await start(t, turnAway("20", ""));
  await exchange(port, once("/book/x"), waitMs);
  await exchange(port, once("/book/x"), waitMs);
  assert.equal(replica.received.length, 1);
});

test("a time in any other answer ends the use of its replica", async (t) => {
  const { port } = await start(t, (socket) => {
    socket.end(
      `HTTP/1.1 200 OK\r\n${sealed}retry-after: 20\r\ncontent-length: 0\r\n\r\n`,
    );
  });
  await exchange(port, once("/book/x"), waitMs);
  assert.match(await exchange(port, once("/book/x"), waitMs), /^HTTP\/1.1 200/);
});

test("an odd time ends the use of its replica, or is logged each time", async (t) => {
  const { port, replica, lines } = await start(t, turnAway("-5"));
  for (let index = 0; index < 3; index += 1)
    await exchange(port, once("/book/x"), waitMs);
  assert.equal(replica.received.length, 3);
  const odd = lines.filter((line) => line === "replica names an odd time");
  assert.equal(odd.length, 1);
});

// The stream falls silent; its engine turns the probe away.
test("a probe that is answered 503 with a time is sent again before it", async (t) => {
  const { port, replica } = await start(
    t,
    (socket, text) => {
      if (isReportRequest(text)) turnAway("20")(socket, text);
      else
        socket.write(
          `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`,
        );
    },
    engines,
  );
  await exchange(port, once("/stream/x"), waitMs);
  const reports = replica.received.filter(isReportRequest);
  assert.equal(reports.length, 1);
});

// Load: a router without a path hands requests on; the other one, or its replica, names a time.
test("another router's time is taken for a replica's", async (t) => {
  for (const extra of ["x-not-run: 1\r\n", ""]) {
    const pair = await startRelayPair(
      (socket, text) => {
        if (isReportRequest(text)) socket.end(respondJson("{}"));
        else turnAway("20", extra)(socket, text);
      },
      { isPatient: true },
    );
    t.after(pair.stop);
    const request = patientRequestText("/check/x", ["connection: close"]);
    const answer = await sendUndisturbed(pair, () =>
      exchange(pair.cut.port, request, patientMs),
    );
    assert.match(answer, /^HTTP\/1.1 503/);
    const message = "replica wants no requests";
    assert.ok(pair.helper.messages.includes(message));
    assert.equal(pair.cut.messages.includes(message), false);
  }
});
