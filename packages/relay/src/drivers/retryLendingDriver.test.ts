import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { RelayEvent } from "../decisions/events.js";
import {
  createRetryLendingDriver,
  decodeLendingMessage,
  encodeLendingMessage,
} from "./retryLendingDriver.js";

const host = "127.0.0.1";
const ports = [27_311 + (process.pid % 1000), 28_311 + (process.pid % 1000)];

test("any datagram decodes to a message or to undefined", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      decodeLendingMessage(bytes);
    }),
  );
  const long = { type: "ask" as const, service: "x".repeat(300) };
  assert.equal(decodeLendingMessage(encodeLendingMessage(long)), undefined);
});

test("a request to lend a retry reaches the other router", async () => {
  const [first = 0, second = 0] = ports;
  const lines: string[] = [];
  const log = (_: unknown, message: string) => lines.push(message);
  const one = createRetryLendingDriver({ host, port: first }, log);
  const other = createRetryLendingDriver({ host, port: second }, log);
  const heard = new Promise<RelayEvent>((resolve) => {
    void other.events.observe(resolve);
  });
  const ask = setInterval(() => {
    const to = { host, port: second };
    one.perform({ type: "borrowRetry", to, service: "engines" });
  }, 10);
  const event = await heard;
  clearInterval(ask);
  assert.equal(event.type, "retryRequested");
  assert.deepEqual("from" in event && event.from, { host, port: first });
  await one.stop();
  await other.stop();
  assert.deepEqual(lines, []);
});
