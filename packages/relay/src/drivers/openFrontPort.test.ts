import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { now } from "@cardamomglade/common";
import { openFrontPort } from "./openFrontPort.js";

const callers = `
const { connect } = require("node:net");
const { workerData: { port, count, connected } } = require("node:worker_threads");
for (let index = 0; index < count; index += 1) {
  const socket = connect(port, "127.0.0.1", () => {
    if (Atomics.add(connected, 0, 1) === count - 1) Atomics.notify(connected, 0);
  });
  socket.on("error", () => undefined);
}
`;

const callerCount = 1500;
const maxConnectMs = 10_000; // nothing is accepted meanwhile, so what the system drops stays unconnected

/** Connections of one port that the system keeps until they are accepted. */
const systemBacklog = (): number =>
  Number(readFileSync("/proc/sys/net/core/somaxconn", "utf8"));

// Load: callers that connect again at once, after a restart, while the process is busy.
test("callers wait a second for their connections while a process is busy", async (t) => {
  const count = Math.min(callerCount, systemBacklog());
  const server = createServer();
  openFrontPort(server, { host: "127.0.0.1", port: 0 }, () => undefined);
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  const connected = new Int32Array(new SharedArrayBuffer(4));
  const workerData = { port, count, connected };
  const worker = new Worker(callers, { eval: true, workerData });
  t.after(async () => {
    await worker.terminate();
    server.close();
  });
  let known = 0;
  const deadline = now() + maxConnectMs;
  while (known < count && now() < deadline) {
    Atomics.wait(connected, 0, known, deadline - now());
    known = Atomics.load(connected, 0);
  }
  assert.equal(known, count);
});
