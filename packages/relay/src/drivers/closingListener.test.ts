import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { now } from "@cardamomglade/common";
import { OpenConnections } from "./openConnections.js";

const caller = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const socket = connect(workerData.port, "127.0.0.1", () =>
  socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n", () => {
    Atomics.store(workerData.sent, 0, 1);
    Atomics.notify(workerData.sent, 0);
  }),
);
let text = "";
socket.on("data", (chunk) => (text += chunk));
socket.on("error", () => undefined);
socket.on("close", () => parentPort.postMessage(text.split("\\r\\n")[0]));
`;

const maxSendMs = 5000;
const maxReadMs = 3000;
const longTurnCount = 2;

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

/** Lets a caller in another thread send a request, and holds this thread until it has; returns its answer's first line. */
const sendMeanwhile = (port: number): Promise<unknown> => {
  const sent = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(caller, { eval: true, workerData: { port, sent } });
  Atomics.wait(sent, 0, 0, maxSendMs);
  return new Promise((resolve) => worker.once("message", resolve));
};

// Load: one caller whose request waits, not accepted, when the listener closes.
test("a request that arrived before the listener closes is answered", async () => {
  const { port, connections } = await startServer(() => undefined);
  const answered = sendMeanwhile(port);
  await connections.closeIdle(now() + maxReadMs);
  assert.equal(await answered, "HTTP/1.1 200 OK");
});

// Load: so many requests that a turn of the loop takes longer than one may wait without an answer.
test("a request that arrives in a long turn before the listener closes is cut off", async () => {
  const answers: Promise<unknown>[] = [];
  const { port, connections } = await startServer(() => {
    if (answers.length <= longTurnCount) answers.push(sendMeanwhile(port));
  });
  answers.push(sendMeanwhile(port));
  await connections.closeIdle(now() + maxReadMs);
  assert.equal(answers.length, longTurnCount + 1);
  for (const answer of await Promise.all(answers))
    assert.equal(answer, "HTTP/1.1 200 OK");
});
