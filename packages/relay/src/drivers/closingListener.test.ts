import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
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

// Load: one caller whose request waits, not accepted, when the listener closes.
test("a request that arrived before the listener closes is answered", async () => {
  const server = createServer((_, res) => {
    connections.add(res);
    res.setHeader("connection", "close");
    res.end("whole");
  });
  const connections = OpenConnections.create(server, () => undefined);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const sent = new Int32Array(new SharedArrayBuffer(4));
  const { port } = server.address() as AddressInfo;
  const worker = new Worker(caller, { eval: true, workerData: { port, sent } });
  const answered = new Promise((resolve) => worker.once("message", resolve));
  Atomics.wait(sent, 0, 0, 5000);
  await connections.closeIdle();
  assert.equal(await answered, "HTTP/1.1 200 OK");
});
