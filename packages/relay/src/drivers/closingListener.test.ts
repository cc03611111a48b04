import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { now } from "@cardamomglade/common";
import { OpenConnections } from "./openConnections.js";

const callers = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { port, count, sent } = workerData;
const lines = [];
let sentCount = 0;
for (let index = 0; index < count; index += 1) {
  const socket = connect(port, "127.0.0.1", () =>
    socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n", () => {
      sentCount += 1;
      if (sentCount < count) return;
      Atomics.store(sent, 0, 1);
      Atomics.notify(sent, 0);
    }),
  );
  let text = "";
  socket.on("data", (chunk) => (text += chunk));
  socket.on("error", () => undefined);
  socket.on("close", () => {
    lines.push(text.split("\\r\\n")[0]);
    if (lines.length === count) parentPort.postMessage(lines);
  });
}
`;

const maxSendMs = 5000;
const maxReadMs = 3000;
const pollMs = 50;
const longTurnCount = 2;
const waitingCallerCount = 100;
const okLine = "HTTP/1.1 200 OK";

/** Starts a server that closes the connection of each answer. */
const startServer = async (onRequest: () => void) => {
  const server = createServer((_, res) => {
    connections.add(res);
    onRequest();
    res.setHeader("connection", "close");
    res.end("whole");
  });
  const connections = OpenConnections.create(server, () => undefined);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { port, connections };
};

/** Lets callers in another thread send a request each, and holds this thread until they have; returns the first lines of their answers. */
const sendMeanwhile = (port: number, count = 1): Promise<string[]> => {
  const sent = new Int32Array(new SharedArrayBuffer(4));
  const workerData = { port, count, sent };
  const worker = new Worker(callers, { eval: true, workerData });
  Atomics.wait(sent, 0, 0, maxSendMs);
  return new Promise((resolve) => worker.once("message", resolve));
};

/** Closes what is idle once it can, as a process that stops does. */
const closeIdle = async (connections: OpenConnections): Promise<void> => {
  const readBy = now() + maxReadMs;
  while (!(await connections.closeIdle(readBy))) await sleep(pollMs);
};

// Load: one caller whose request waits, not accepted, when the listener closes.
test("a request that arrived before the listener closes is answered", async () => {
  const { port, connections } = await startServer(() => undefined);
  const answered = sendMeanwhile(port);
  await closeIdle(connections);
  assert.deepEqual(await answered, [okLine]);
});

// Load: new connections come faster than a busy process accepts them, one a turn of its loop.
test("requests on connections that wait to be accepted when the listener closes are cut off", async () => {
  const { port, connections } = await startServer(() => undefined);
  const answered = sendMeanwhile(port, waitingCallerCount);
  await closeIdle(connections);
  const answers = await answered;
  assert.deepEqual([...new Set(answers)], [okLine]);
});

// Load: so many requests that a turn of the loop takes longer than one may wait without an answer.
test("a request that arrives in a long turn before the listener closes is cut off", async () => {
  const answers: Promise<string[]>[] = [];
  const { port, connections } = await startServer(() => {
    if (answers.length <= longTurnCount) answers.push(sendMeanwhile(port));
  });
  answers.push(sendMeanwhile(port));
  await closeIdle(connections);
  assert.equal(answers.length, longTurnCount + 1);
  for (const answer of await Promise.all(answers))
    assert.deepEqual(answer, [okLine]);
});
