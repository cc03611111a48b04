/** Streams whose connection falls silent while their engine answers reports, beside a full engine. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { engines } from "./testing/scenario.js";
import type { RawResponder } from "./testing/rawReplica.js";
import {
  exchange,
  isReportRequest,
  refuseAsFull,
  requestText,
  respondJson,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

const waitMs = 4000;
const missedEventCount = 9;

const eventOf = (id: number): string => `id: ${String(id)}\ndata: x\n\n`;

/** Streams three events with a silence after the first; its reports say how many it made. */
const streamSilentFor =
  (ms: number, generatedEventCount: number): RawResponder =>
  async (socket, text) => {
    if (isReportRequest(text)) {
      const run = { requestId: "r1", generatedEventCount };
      socket.end(respondJson(JSON.stringify({ runs: [run] })));
      return;
    }
    const write = (event: string) =>
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    socket.write(
      `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
    );
    write(eventOf(1));
    await sleep(ms);
    write(eventOf(2));
    write(eventOf(3));
    socket.end("0\r\n\r\n");
  };

const assertWholeStream = (answer: string): void => {
  const ids = [...answer.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
  assert.deepEqual(ids, ["1", "2", "3"]);
  assert.ok(answer.endsWith("0\r\n\r\n"));
};

const streamCases = [
  { says: "names newer events", events: missedEventCount },
  { says: "names no newer events", events: 1 },
];

for (const { says, events } of streamCases)
  for (const ms of [600, 1000, 1300, 1800])
    test(`a stream whose connection is silent for ${String(ms)} ms is given up for a full engine while its report ${says}`, async (t) => {
      const { port, stop } = await startTestRelay(
        streamSilentFor(ms, events),
        engines,
        ["a-1"],
        refuseAsFull,
      );
      t.after(stop);
      const text = requestText("/stream/x", ["connection: close"], "POST");
      const longer = text.replace("x-budget: 1000", "x-budget: 5000");
      assertWholeStream(await exchange(port, longer, waitMs));
    });
