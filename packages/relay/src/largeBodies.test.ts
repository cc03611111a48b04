/** Idempotent requests with large bodies or answers, which are on their way for longer than a small answer takes. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import type { RawReader, RawResponder } from "./testing/rawReplica.js";
import { idempotentPath, plainService } from "./testing/scenario.js";
import {
  exchange,
  patientMs,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const partIntervalMs = 50;
const partCount = 16;
const answerPartBytes = 128 * 1024;
const bodyBytes = 12_000_000; // more than the buffers of a connection take
const stepBytes = 600_000;

const head = (bytes: number): string =>
  `HTTP/1.1 200 OK\r\n${sealed}content-length: ${String(bytes)}\r\n\r\n`;

const sendParts = async (socket: Socket): Promise<void> => {
  socket.write(head(partCount * answerPartBytes));
  for (let part = 0; part < partCount; part += 1) {
    await sleep(partIntervalMs);
    socket.write("a".repeat(answerPartBytes));
  }
};

/** Sends a large answer at a steady rate, for twice as long as an answer is waited for. */
const answerSlowly: RawResponder = (socket) => {
  void sendParts(socket);
};

/** Reads a large body at a steady rate, and answers at its end. */
const readSlowly: RawReader = (socket: Socket) => {
  let bytes = 0;
  let stepEnd = stepBytes;
  socket.on("data", (chunk) => {
    bytes += chunk.length;
    if (bytes >= bodyBytes) socket.end(`${head(5)}hello`);
    if (bytes < stepEnd) return;
    stepEnd += stepBytes;
    socket.pause();
    setTimeout(() => socket.resume(), partIntervalMs);
  });
};

const requestOf = (bytes: number): string =>
  requestText(
    idempotentPath,
    ["connection: close", `content-length: ${String(bytes)}`],
    "POST",
    "b".repeat(bytes),
    patientMs,
  );

test("a second replica is asked while the first one still sends a large answer", async (t) => {
  const { port, second, stop, extendTimeouts } = await startTestRelay(
    answerSlowly,
    plainService,
    ["a-9"],
    respondOk,
  );
  t.after(stop);
  await extendTimeouts();
  const answer = await exchange(port, requestOf(0), patientMs);
  assert.equal(second?.received.length, 0);
  assert.match(answer, /^HTTP\/1\.1 200 /);
  assert.match(answer, /a{1000}$/);
});

test("a second replica is sent a large body that the first one still takes", async (t) => {
  const { port, second, changeLimits, stop, extendTimeouts } =
    await startTestRelay(
      respondOk,
      plainService,
      ["a-9"],
      respondOk,
      readSlowly,
    );
  t.after(stop);
  await extendTimeouts();
  await changeLimits({ bodyBytes });
  const answer = await exchange(port, requestOf(bodyBytes), patientMs);
  assert.equal(second?.received.length, 0);
  assert.match(answer, /^HTTP\/1\.1 200 [^]*hello$/);
});
