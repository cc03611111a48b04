import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { now } from "@cardamomglade/common";
import { eventually, promptly } from "@cardamomglade/common/testing/eventually";
import { measureStalls } from "@cardamomglade/common/testing/measureStalls";
import type { RawResponder } from "./testing/rawReplica.js";
import { startRelayPair, type RelayPair } from "./testing/relayPair.js";
import { requestsAt, sendUndisturbed } from "./testing/sendUndisturbed.js";
import { engines } from "./testing/scenario.js";
import {
  exchange,
  patientMs,
  patientRequestText,
  requestText,
  respondOk,
  sealed,
} from "./testing/testRelay.js";

// Load: a router is cut from all replicas, and hands its callers' requests on.
const waitMs = 1500;
const chunkedEnd = "\r\n0\r\n\r\n";
const eventTexts = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const streamHead = `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\n`;

const start = async (
  t: TestContext,
  answer: RawResponder,
  options: Parameters<typeof startRelayPair>[1] = {},
): Promise<RelayPair> => {
  const pair = await startRelayPair(answer, options);
  t.after(pair.stop);
  return pair;
};

const send = (
  { cut }: RelayPair,
  path: string,
  headers: readonly string[] = [],
  method = "GET",
  body = "",
): Promise<string> =>
  exchange(
    cut.port,
    requestText(path, ["connection: close", ...headers], method, body),
    waitMs,
  );

/** Sends a request whose end does not depend on its deadline. */
const sendPatiently = ({ cut }: RelayPair, path: string): Promise<string> =>
  exchange(
    cut.port,
    patientRequestText(path, ["connection: close"]),
    patientMs,
  );

test("a request at a router without a path is not answered as elsewhere", async (t) => {
  const pair = await start(t, respondOk, { isPatient: true });
  for (const path of ["/check/x", "/book/x"]) {
    const received = await sendUndisturbed(pair, () =>
      sendPatiently(pair, path),
    );
    assert.match(received, /^HTTP\/1.1 200 OK/);
    assert.match(received, /^x-seal: s\r$/im);
    assert.match(received, /^x-extra: 1\r$/im);
    assert.match(received, /^content-length: 5\r$/im);
    assert.ok(received.endsWith("\r\n\r\nhello"));
    assert.equal(received.includes("cardamomglade"), false);
  }
  assert.equal(requestsAt(pair).length, 2);
});

test("a request that is handed on reaches the replica changed, or with the caller's key", async (t) => {
  const pair = await start(t, respondOk);
  const headers = [
    "content-length: 4",
    "x-other: kept",
    "x-customer: somebody",
    "x-cardamomglade-handover: forged",
  ];
  await sendUndisturbed(pair, () =>
    send(pair, "/book/x?y=1", headers, "POST", "body"),
  );
  const [text = ""] = requestsAt(pair);
  assert.match(text, /^POST \/book\/x\?y=1 HTTP\/1.1\r/);
  assert.match(text, /^host: host.example\r$/im);
  assert.match(text, /^x-request: r1\r$/im);
  assert.match(text, /^x-other: kept\r$/im);
  assert.match(text, /^x-customer: owner\r$/im);
  assert.match(text, /^x-replica: a-/im);
  assert.doesNotMatch(text, /authorization|somebody|cardamomglade/i);
  assert.ok(text.endsWith("\r\n\r\nbody"));
  const budgetMs = Number(/^x-budget: (\d+)\r$/im.exec(text)?.[1]);
  assert.ok(budgetMs > 0 && budgetMs < 1000, String(budgetMs));
});

test("a key that is not known is accepted through another router", async (t) => {
  const pair = await start(t, respondOk);
  const text = requestText("/check/x", ["connection: close"]).replace(
    "key-1",
    "key-9",
  );
  const received = await exchange(pair.cut.port, text, waitMs);
  assert.match(received, /^HTTP\/1.1 401/);
  assert.equal(requestsAt(pair).length, 0);
});

test("a stream at a router without a path comes late or looks broken off", async (t) => {
  let endStream: () => void = () => undefined;
  const pair = await start(
    t,
    (replicaSocket) => {
      replicaSocket.write(`${streamHead}\r\n${eventTexts[0] ?? ""}`);
      endStream = () => {
        replicaSocket.end(eventTexts[1] ?? "");
      };
    },
    { service: engines, isPatient: true },
  );
  let text = "";
  let isClosed = false;
  const socket = connect(pair.cut.port, "127.0.0.1");
  socket.on("data", (chunk) => (text += chunk.toString("latin1")));
  socket.on("close", () => (isClosed = true));
  socket.write(patientRequestText("/stream/x", ["connection: close"]));
  // The replica makes the second event only when the first one has reached the caller.
  await eventually(() => text.includes("id: 1"), "the first event");
  endStream();
  await eventually(() => isClosed, "the end of the stream");
  assert.ok(text.endsWith(chunkedEnd), text);
  assert.equal(text.split("id: 1").length, 2);
  assert.ok(text.indexOf("id: 2") > text.indexOf("id: 1"));
});

test("a stream that breaks off behind another router looks complete", async (t) => {
  const pair = await start(
    t,
    (socket) => {
      socket.write(`${streamHead}\r\n${eventTexts[0] ?? ""}id: 2\nda`);
      setTimeout(() => socket.end(), 30);
    },
    { service: engines },
  );
  const received = await send(pair, "/stream/x");
  assert.equal(received.endsWith(chunkedEnd), false);
});

test("a plain answer without a length gets one from another router", async (t) => {
  const pair = await start(t, (socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${sealed}\r\nhello, world`),
  );
  const received = await send(pair, "/check/x");
  assert.doesNotMatch(received, /content-length|transfer-encoding/i);
  assert.ok(received.endsWith("\r\n\r\nhello, world"));
});

test("a booking is sent twice, or refused as not run, after the router that took it over was lost", async (t) => {
  const pair = await start(t, () => undefined, { isPatient: true });
  const received = sendPatiently(pair, "/book/x");
  await eventually(() => requestsAt(pair).length > 0, "the replica is asked");
  await pair.helper.drain(now());
  assert.match(await received, /^HTTP\/1.1 502/);
  assert.equal(requestsAt(pair).length, 1);
});

test("a booking that a replica failed is sent again through another router", async (t) => {
  const pair = await start(t, (socket) =>
    socket.end(`HTTP/1.1 500 X\r\n${sealed}content-length: 0\r\n\r\n`),
  );
  assert.match(await send(pair, "/book/x"), /^HTTP\/1.1 500/);
  assert.equal(requestsAt(pair).length, 1);
});

test("a replica goes on working for a caller that left behind another router", async (t) => {
  let isClosed = false;
  const answer: RawResponder = (replicaSocket) => {
    replicaSocket.on("close", () => (isClosed = true));
  };
  const pair = await start(t, answer, { isPatient: true });
  const socket = connect(pair.cut.port, "127.0.0.1");
  socket.write(patientRequestText("/check/x"));
  await eventually(() => requestsAt(pair).length > 0, "the replica is asked");
  assert.equal(requestsAt(pair).length, 1);
  assert.equal(isClosed, false);
  socket.destroy();
  await promptly(() => isClosed, "leaving the replica", 300);
});

test("routers without a path hand a request to and fro, or keep it waiting", async (t) => {
  const pair = await start(t, respondOk, { isHelperCut: true });
  // Both find out by a first request.
  await send(pair, "/check/x");
  await sleep(1000);
  const { stalledMs } = measureStalls();
  const sentAt = now();
  const received = await send(pair, "/book/x");
  assert.match(received, /^HTTP\/1.1 503/);
  assert.match(received, /^retry-after: /im);
  assert.ok(now() - sentAt - stalledMs() < 300);
  assert.equal(requestsAt(pair).length, 0);
});

test("a router takes requests over from a host that is no router's", async (t) => {
  const pair = await start(t, respondOk, { registeredHost: "10.9.9.9" });
  const { port } = pair.helper.address;
  const handover = Buffer.from([
    0x95,
    0xa4,
    ...Buffer.from("desk"),
    0,
    0xc3,
    0xc0,
    0xc0,
  ]);
  const header = `x-cardamomglade-handover: ${handover.toString("base64url")}`;
  const received = await exchange(
    port + 1,
    requestText("/book/x", ["connection: close", header]),
    waitMs,
  );
  assert.match(received, /^HTTP\/1.1 503/);
  assert.match(received, /^x-not-run: 1\r$/im);
  assert.match(received, /^x-cardamomglade-refusal: notAllowed\r$/im);
  assert.equal(requestsAt(pair).length, 0);
});

test("a request without what its router has to tell is taken over", async (t) => {
  const pair = await start(t, respondOk);
  const { port } = pair.helper.address;
  for (const header of ["x-a: 1", "x-cardamomglade-handover: !!"]) {
    const text = requestText("/book/x", ["connection: close", header]);
    const received = await exchange(port + 1, text, waitMs);
    assert.match(received, /^HTTP\/1.1 400/);
    assert.match(received, /^x-not-run: 1\r$/im);
  }
  assert.equal(requestsAt(pair).length, 0);
});

test("a router that stops takes requests over, or loses those that it has", async (t) => {
  const pair = await start(t, (socket, text) => {
    setTimeout(() => {
      respondOk(socket, text);
    }, 300);
  });
  const first = send(pair, "/book/x");
  await eventually(() => requestsAt(pair).length > 0, "the replica is asked");
  const stopped = pair.helper.drain(now() + 3000);
  assert.ok((await first).endsWith("hello"));
  const second = await send(pair, "/book/x");
  assert.match(second, /^HTTP\/1.1 503/);
  assert.equal(requestsAt(pair).length, 1);
  await stopped;
});
