/** Several replicas that send answers without an end at once, and sound requests beside them. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { Holder } from "./decisions/memory/types.js";
import { memoryBudget } from "./drivers/memory/memoryBudget.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  exchange,
  patientMs,
  patientRequestText,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const chunkBytes = 64 * 1024;
const filler = "x".repeat(chunkBytes);
const promisedBytes = 48 * 1024 * 1024; // of all answers that a process buffers
const largeBytes = 8 * 1024 * 1024;
const waitMs = 3000;
const sampleMs = 5;
const soundIntervalMs = 50;
// A host has 250 MB or more, and a router without requests takes about 100 MB of them.
const maxGrowthBytes = 150 * 1024 * 1024;
const ok = "HTTP/1.1 200 OK\r\n";

/** Repeats bytes as fast as they are taken, until the connection closes. */
const repeat = (socket: Socket, bytes: string): void => {
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
};

const endlessHeads = [
  `${ok}${sealed}\r\n`,
  `${ok}${sealed}transfer-encoding: chunked\r\n\r\n`,
  `${ok}${sealed}content-length: 90000000000\r\n\r\n`,
  `${ok}${sealed}content-type: text/event-stream\r\n\r\n`,
];

const respond: RawResponder = (socket, text) => {
  const target = text.split(" ")[1] ?? "";
  const [, kind = "", index = "0"] =
    /^\/check\/(\w+)-?(\d*)/.exec(target) ?? [];
  if (kind === "sound") {
    respondOk(socket, text);
    return;
  }
  if (kind === "large") {
    const head = `${ok}${sealed}content-length: ${String(largeBytes)}\r\n\r\n`;
    socket.end(head + "y".repeat(largeBytes));
    return;
  }
  const head = endlessHeads[Number(index) % endlessHeads.length] ?? "";
  socket.write(head);
  const isChunked = head.includes("chunked");
  repeat(
    socket,
    isChunked ? `${chunkBytes.toString(16)}\r\n${filler}\r\n` : filler,
  );
};

/** Bytes of answers that are buffered while they arrive. */
const bufferedBytes = (): number =>
  memoryBudget.use().heldBytes[Holder.ArrivingAnswer];

/** Samples the memory until it is stopped; returns the largest values. */
const watchMemory = () => {
  const before = process.memoryUsage().rss;
  const peak = { growth: 0, buffered: 0 };
  const timer = setInterval(() => {
    const growth = process.memoryUsage().rss - before;
    peak.growth = Math.max(peak.growth, growth);
    peak.buffered = Math.max(peak.buffered, bufferedBytes());
  }, sampleMs);
  return () => {
    clearInterval(timer);
    return peak;
  };
};

for (const count of [8, 24, 64])
  test(`${String(count)} endless answers at once take the memory of sound requests`, async (t) => {
    const { port, stop, extendTimeouts } = await startTestRelay(respond);
    t.after(stop);
    await extendTimeouts();
    await exchange(port, requestText("/check/sound"), waitMs);
    const stopWatching = watchMemory();
    const endless = Array.from({ length: count }, (_, index) =>
      exchange(port, requestText(`/check/endless-${String(index)}`), waitMs),
    );
    const sound: Promise<string>[] = [];
    for (let sent = 0; sent < 20; sent += 1) {
      const path = sent % 10 === 5 ? "/check/large" : "/check/sound";
      const request = patientRequestText(path, ["connection: close"]);
      sound.push(exchange(port, request, patientMs));
      await sleep(soundIntervalMs);
    }
    const answers = await Promise.all(sound);
    await Promise.all(endless);
    const peak = stopWatching();
    const served = answers.filter((text) => text.startsWith(ok.trim()));
    assert.equal(served.length, answers.length);
    const large = answers.filter(({ length }) => length > largeBytes);
    assert.equal(large.length, 2);
    assert.ok(peak.buffered <= promisedBytes);
    assert.equal(bufferedBytes(), 0);
    const growthText = `grew by ${String(Math.round(peak.growth / 1e6))} MB`;
    assert.ok(peak.growth < maxGrowthBytes, growthText);
  });
