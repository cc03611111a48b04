import assert from "node:assert/strict";
import { createServer, get, type IncomingMessage } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { stallMs } from "../../decisions/memory/constants.js";
import { Holder } from "../../decisions/memory/types.js";
import { MemoryBudget } from "./memoryBudget.js";
import { UnreadEvents } from "./unreadEvents.js";

const budgetBytes = 1_000_000;
const largeEventBytes = 40_000;
const queuedBytes = 100_000;
const settleMs = 100;

// Load: a caller reads every event; its replica sends a large one, small ones, and is silent for a while.
test("a stream whose caller has read all gives way as one that does not read", async (t) => {
  const budget = MemoryBudget.create(budgetBytes);
  let brokenBy: string | undefined;
  let events: UnreadEvents | undefined;
  const server = createServer((_, res) => {
    res.flushHeaders();
    events = UnreadEvents.create(budget, res, (why) => {
      brokenBy = why;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const res = await new Promise<IncomingMessage>((resolve) => {
    get({ port, host: "127.0.0.1" }, resolve);
  });
  let received = 0;
  res.on("data", (chunk: Buffer) => (received += chunk.length));
  res.on("error", () => undefined);
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const sizes = [largeEventBytes, 100, 100, 100];
  for (const size of sizes) {
    events?.write(Buffer.alloc(size));
    events?.update();
    await sleep(settleMs);
  }
  await sleep(stallMs + settleMs);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  assert.equal(received, total);
  assert.equal(budget.bytes, 0);
  const other = budget.hold({
    holder: Holder.KeptRequest,
    isSized: true,
    onGiveWay: () => undefined,
  });
  budget.tryResize(other, budgetBytes);
  assert.equal(brokenBy, undefined);
});

// Load: memory is short, and events of a stream arrive between its end and its connection's.
test("events behind a stream that gave way are held for ever", async (t) => {
  const budget = MemoryBudget.create(budgetBytes);
  let events: UnreadEvents | undefined;
  const server = createServer((_, res) => {
    res.flushHeaders();
    events = UnreadEvents.create(budget, res, () => res.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const res = await new Promise<IncomingMessage>((resolve) => {
    get({ port, host: "127.0.0.1" }, resolve);
  });
  res.on("error", () => undefined);
  res.resume();
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const kept = budget.hold({
    holder: Holder.KeptRequest,
    isSized: true,
    onGiveWay: () => undefined,
  });
  kept.set(budgetBytes);
  for (let count = 0; count < 2; count += 1) {
    events?.write(Buffer.alloc(largeEventBytes));
    events?.update();
  }
  await sleep(settleMs);
  kept.close();
  assert.equal(budget.bytes, 0);
});

// Load: a caller pipelines a stream behind a request whose answer takes a while.
test("events that wait for an earlier answer give way as events that are not read", async (t) => {
  const budget = MemoryBudget.create(budgetBytes);
  let brokenBy: string | undefined;
  let requestCount = 0;
  const server = createServer((_, res) => {
    requestCount += 1;
    if (requestCount === 1) return; // the answer takes a while
    const events = UnreadEvents.create(budget, res, (why) => {
      brokenBy = why;
    });
    events.write(Buffer.alloc(queuedBytes));
    events.update();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  t.after(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });
  socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n".repeat(2));
  await sleep(stallMs + 2 * settleMs);
  assert.equal(requestCount, 2);
  assert.ok(budget.bytes >= queuedBytes);
  const other = budget.hold({
    holder: Holder.ArrivingAnswer,
    isSized: true,
    onGiveWay: () => undefined,
  });
  assert.ok(!budget.tryResize(other, budgetBytes / 2));
  assert.equal(brokenBy, undefined);
});
