/** A router's listener before callers that nobody controls: it stays within its bounds, and serves the others. */

import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { memoryUsage } from "node:process";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { eventually } from "@cardamomglade/common/testing/eventually";
import {
  customerKey,
  startCallersListener,
  testSettings,
} from "../testing/callersListener.js";

const mib = 1024 * 1024;
const maxConnections = 60;
const crowdCount = 200;
const limits = {
  bodyBytes: mib,
  headerBytes: 16 * 1024,
  headerLines: 200,
  connections: maxConnections,
  bodiesBytes: 8 * mib,
  headTimeoutMs: 1000,
  readTimeoutMs: 3000,
};
const crowdAddress = "127.0.0.1";
const ordinaryAddress = "127.0.0.2";
const stalledMs = 1200; // more than a body that stopped is waited for
const answerWaitMs = 8000;

const key = `authorization: Bearer ${customerKey}`;

const headOf = (method: string, path: string, lines: readonly string[]) =>
  `${method} ${path} HTTP/1.1\r\nhost: a\r\n${lines.join("\r\n")}\r\n\r\n`;

const ordinary = headOf("GET", "/v1/models", [key]);
const bodyHead = (bytes: number) =>
  headOf("POST", "/v1/completions", [key, `content-length: ${String(bytes)}`]);

/** A caller's connection, and what it received. */
const open = (t: TestContext, port: number, localAddress = crowdAddress) => {
  const socket: Socket = connect({ port, host: "127.0.0.1", localAddress });
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString("latin1")));
  socket.on("error", () => undefined); // the listener closes connections at any time
  t.after(() => socket.destroy());
  return { socket, text: () => text };
};

const statusOf = (text: string): number => Number(text.split(" ")[1] ?? 0);

/** Status of the answer to a request on a connection of its own; 0 if there is none. */
const ask = async (
  t: TestContext,
  port: number,
  text: string,
): Promise<number> => {
  const caller = open(t, port, ordinaryAddress);
  caller.socket.write(text);
  await eventually(
    () => caller.text() !== "" || caller.socket.destroyed,
    "an answer",
    answerWaitMs,
  );
  return statusOf(caller.text());
};

/** Bytes of buffers that are in use; the system frees them a while after the collection. */
const collect = async (): Promise<number> => {
  for (let round = 0; round < 3; round += 1) {
    globalThis.gc?.();
    await sleep(50);
  }
  return memoryUsage().arrayBuffers;
};

const exposeCollection = (): void => {
  setFlagsFromString("--expose-gc");
  globalThis.gc = runInNewContext("gc") as NonNullable<typeof globalThis.gc>;
};

for (const [name, text] of [
  ["without a byte", ""],
  ["with half a head", "GET /v1/models HTTP/1.1\r\nhost: a\r\nx-a"],
  ["with half a body", `${bodyHead(100_000)}{`],
] as const)
  test(`a crowd of connections ${name} takes more than its bound, or an ordinary caller gets no answer`, async (t) => {
    const settings = testSettings({
      ...limits,
      headTimeoutMs: 60_000,
      readTimeoutMs: 60_000,
    });
    const { server, port } = await startCallersListener(t, settings);
    let connectionCount = 0;
    let acceptedCount = 0;
    server.on("connection", (socket: Socket) => {
      acceptedCount += 1;
      connectionCount += 1;
      socket.on("close", () => (connectionCount -= 1));
    });
    const kept = open(t, port, ordinaryAddress);
    kept.socket.write(ordinary);
    await eventually(() => statusOf(kept.text()) === 200, "a first answer");
    for (let index = 0; index < crowdCount; index += 1)
      open(t, port).socket.write(text);
    await eventually(() => acceptedCount > crowdCount, "the crowd");
    await sleep(stalledMs);
    assert.ok(connectionCount <= maxConnections, String(connectionCount));
    assert.equal(await ask(t, port, ordinary), 200);
    const { length } = kept.text();
    kept.socket.write(ordinary);
    await eventually(() => kept.text().length > length, "a second answer");
    assert.equal(kept.socket.destroyed, false);
  });

test("bodies that stop short of their end take more than their bound, or one that moves finds no room", async (t) => {
  exposeCollection();
  const settings = testSettings({
    ...limits,
    connections: crowdCount,
    readTimeoutMs: 60_000,
  });
  const { port } = await startCallersListener(t, settings);
  const part = Buffer.alloc(mib - 1024, "x");
  const before = await collect();
  const crowd = Array.from({ length: 40 }, () => open(t, port).socket);
  for (const socket of crowd) {
    socket.write(bodyHead(mib));
    socket.write(part);
  }
  await eventually(
    () => crowd.every((one) => one.writableLength === 0 || one.destroyed),
    "the bodies",
  );
  await sleep(stalledMs);
  const heldBytes = (await collect()) - before;
  assert.ok(heldBytes < 2 * limits.bodiesBytes, String(heldBytes));
  assert.equal(await ask(t, port, `${bodyHead(1)}{`), 400);
});

test("a head of too many lines loses its key", async (t) => {
  const { port } = await startCallersListener(t, testSettings(limits));
  const lines = Array.from(
    { length: 1200 },
    (_, index) => `a${String(index)}:`,
  );
  const head = headOf("GET", "/v1/models", [...lines, key]);
  assert.equal(await ask(t, port, head), 431);
});

for (const [name, text] of [
  ["head", "GET /v1/models HTTP/1.1\r\nhost: a\r\nx-a"],
  ["body", `${bodyHead(100_000)}{`],
] as const)
  test(`a ${name} that stays without its end is not refused in time`, async (t) => {
    const { port } = await startCallersListener(t, testSettings(limits));
    assert.equal(await ask(t, port, text), 408);
  });

// Calm: one caller, with what the limits allow.
for (const [name, text, status] of [
  [
    "a head of many lines",
    headOf("GET", "/v1/models", [
      key,
      ...Array.from({ length: limits.headerLines - 2 }, () => "a: b"),
    ]),
    200,
  ],
  ["a body of full length", bodyHead(mib) + "x".repeat(mib), 400],
] as const)
  test(`a request inside the limits is refused in calm: ${name}`, async (t) => {
    const { port } = await startCallersListener(t, testSettings(limits));
    assert.equal(await ask(t, port, text), status);
  });
