/** Idempotent requests whose replica is silent for a while before its answer, beside a full one. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { idempotentPath, plainService } from "./testing/scenario.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  exchange,
  refuseAsFull,
  requestText,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const waitMs = 4000;

const answerAfter =
  (ms: number): RawResponder =>
  async (socket) => {
    await sleep(ms);
    socket.end(`HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\nhello`);
  };

for (const ms of [600, 800, 1000])
  test(`an idempotent request whose replica is silent for ${String(ms)} ms is given up for a full one`, async (t) => {
    const { port, stop } = await startTestRelay(
      answerAfter(ms),
      plainService,
      ["a-9"],
      refuseAsFull,
    );
    t.after(stop);
    const text = requestText(idempotentPath, ["connection: close"]);
    const longer = text.replace("x-budget: 1000", "x-budget: 1200");
    const answer = await exchange(port, longer, waitMs);
    assert.match(answer, /^HTTP\/1\.1 200 [^]*hello$/);
  });
