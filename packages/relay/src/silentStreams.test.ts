/** Streams over real connections whose replica falls silent after its first event and then goes on. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { engines } from "./testing/scenario.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  exchange,
  requestText,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";
import { testProtocol } from "./testing/testProtocol.js";

const waitMs = 3000;
const eventOf = (id: number): string => `id: ${String(id)}\ndata: x\n\n`;

/** Streams three events with a silence after the first; reports wait for its end as well. */
const silentFor =
  (ms: number): RawResponder =>
  async (socket, text) => {
    if (text.startsWith(`GET ${testProtocol.reportPath} `)) {
      await sleep(ms);
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
      return;
    }
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
    );
    const write = (event: string) =>
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    write(eventOf(1));
    await sleep(ms);
    write(eventOf(2));
    write(eventOf(3));
    socket.end("0\r\n\r\n");
  };

for (const ms of [300, 600, 1000, 1300])
  test(`a stream is broken off after a silence of ${String(ms)} ms`, async (t) => {
    const { port, replica, stop } = await startTestRelay(
      silentFor(ms),
      engines,
      ["a-1"],
    );
    t.after(stop);
    const request = requestText("/stream/x", ["connection: close"], "POST");
    const text = request.replace("x-budget: 1000", "x-budget: 5000");
    const answer = await exchange(port, text, waitMs);
    const ids = [...answer.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    assert.deepEqual(ids, ["1", "2", "3"]);
    assert.ok(answer.endsWith("0\r\n\r\n"));
    const runs = replica.received.filter((one) => one.startsWith("POST"));
    assert.equal(runs.length, 1);
  });
