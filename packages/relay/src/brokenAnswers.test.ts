import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { RawCaller } from "./testing/rawCaller.js";
import type { RawResponder } from "./testing/rawReplica.js";
import { engines, plainService } from "./testing/scenario.js";
import {
  exchange,
  patientMs,
  patientRequestText,
  requestText,
  sealed,
  startTestRelay,
  withReports,
} from "./testing/testRelay.js";

const waitMs = 1500;
const settleMs = 20;
const chunkedEnd = "\r\n0\r\n\r\n";
const firstEvent = "id: 1\ndata: first\n\n";
const secondEvent = "id: 2\ndata: second\n\n";
const streamHead = `HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\n`;

const relayed = async (
  path: string,
  respond: RawResponder,
  service = plainService,
  ids?: readonly string[],
): Promise<string> => {
  const running = await startTestRelay(respond, service, ids);
  const text = requestText(path, ["connection: close"]);
  const received = await exchange(running.port, text, waitMs);
  await running.stop();
  return received;
};

/** The same for a request whose end does not depend on its deadline. */
const relayedPatiently = async (
  path: string,
  respond: RawResponder,
  service = plainService,
  ids?: readonly string[],
): Promise<string> => {
  const running = await startTestRelay(respond, service, ids);
  await running.extendTimeouts();
  const text = patientRequestText(path, ["connection: close"]);
  const received = await exchange(running.port, text, patientMs);
  await running.stop();
  return received;
};

/** Whether a request is a caller's, not one for a load report. */
const isStreamRequest = (text: string): boolean =>
  text.startsWith("GET /stream/");

/** Writes pieces one after the other, and closes at the end. */
const writePieces = (
  socket: Socket,
  pieces: readonly string[],
  delayMs: number,
): void => {
  pieces.forEach((piece, index) => {
    setTimeout(() => {
      if (!socket.destroyed) socket.write(piece);
    }, index * delayMs);
  });
  setTimeout(() => socket.end(), pieces.length * delayMs);
};

const refusal = (status: number, headers = "x-not-run: 1\r\n"): string =>
  `HTTP/1.1 ${String(status)} X\r\n${headers}content-length: 7\r\n\r\nrefused`;

const nextAnswers: Readonly<Record<string, string>> = {
  "a 500": refusal(500, sealed),
  "a 503": refusal(503),
  "a 503 that ran": refusal(503, sealed),
  "a 429": refusal(429),
  "a 421": refusal(421),
  "a plain 200": refusal(200, sealed),
  "a head without an end": "HTTP/1.1 503 X\r\nx-not",
};

// Load: a stream breaks off after its first event, and the replica that is to go on fails.
for (const [name, answer] of Object.entries(nextAnswers))
  for (const framing of ["", "transfer-encoding: chunked\r\n"])
    test(`a stream that broke off gets ${name} of the next replica in its middle or looks complete (${framing.trim() || "no length"})`, async () => {
      let attempts = 0;
      const event =
        framing === ""
          ? firstEvent
          : `${firstEvent.length.toString(16)}\r\n${firstEvent}\r\n`;
      const respond: RawResponder = (socket, text) => {
        if (!isStreamRequest(text)) return;
        attempts += 1;
        if (attempts > 1) {
          socket.end(answer);
          return;
        }
        socket.write(`${streamHead}${framing}\r\n${event}`);
        setTimeout(() => {
          socket.resetAndDestroy();
        }, settleMs);
      };
      const ids = ["a-1", "b-1", "c-1"];
      const received = await relayed("/stream/x", respond, engines, ids);
      assert.ok(attempts > 1, "no other replica was tried");
      assert.ok(received.startsWith("HTTP/1.1 200"));
      assert.ok(received.includes(firstEvent));
      assert.ok(!received.includes("refused"), received);
      assert.equal(received.split("HTTP/1.1").length, 2);
      assert.ok(!received.endsWith(chunkedEnd), "it looks complete");
    });

test("a stream that broke off goes on at the next replica", async () => {
  let attempts = 0;
  const respond: RawResponder = (socket, text) => {
    if (!isStreamRequest(text)) return;
    attempts += 1;
    const isFirst = attempts === 1;
    socket.write(`${streamHead}\r\n${isFirst ? firstEvent : secondEvent}`);
    setTimeout(() => {
      if (isFirst) socket.resetAndDestroy();
      else socket.end();
    }, settleMs);
  };
  const ids = ["a-1", "b-1", "c-1"];
  const received = await relayedPatiently(
    "/stream/x",
    withReports(respond),
    engines,
    ids,
  );
  assert.ok(received.includes(firstEvent), received);
  assert.ok(received.includes(secondEvent), received);
  assert.ok(received.endsWith(chunkedEnd));
});

const heads: Readonly<Record<string, string>> = {
  length: `HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\n`,
  chunks: `HTTP/1.1 200 OK\r\n${sealed}transfer-encoding: chunked\r\n\r\n`,
  neither: `HTTP/1.1 200 OK\r\n${sealed}x-last: 1\r\n\r\n`,
};

const cuts = (head: string): Readonly<Record<string, number>> => ({
  "its status line": 6,
  "its status": 11,
  "the end of its status line": "HTTP/1.1 200 OK\r".length,
  "a header name": head.indexOf("x-seal") + 3,
  "a header value": head.indexOf("x-seal: ") + 8,
  "its last header": head.length - 5,
  "its blank line": head.length - 2,
  "the middle of its blank line": head.length - 1,
});

// Load: a replica stops in the middle of its answer's head and closes.
for (const [framing, head] of Object.entries(heads))
  test(`an answer with ${framing} that stops inside its head becomes a success`, async () => {
    for (const [place, end] of Object.entries(cuts(head)))
      for (const isReset of [false, true])
        for (const [path, service] of [
          ["/book/x", plainService],
          ["/stream/x", engines],
        ] as const) {
          const respond: RawResponder = (socket) => {
            socket.write(head.slice(0, end));
            setTimeout(() => {
              if (isReset) socket.resetAndDestroy();
              else socket.end();
            }, settleMs);
          };
          const received = await relayedPatiently(path, respond, service);
          assert.match(received, /^HTTP\/1.1 502/, `${place}, ${path}`);
        }
  });

// Load: a faulty replica writes an earlier refusal once more, at any moment.
test("a refusal of another request makes a request that may run count as not run", async () => {
  const other = "x-request: earlier\r\nx-not-run: 1\r\n";
  for (const status of [503, 429, 421])
    for (const delayMs of [0, settleMs]) {
      const text = refusal(status, other);
      const own = `HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\nhello`;
      const pieces = [text.slice(0, 20), text.slice(20), own];
      const respond: RawResponder = (socket) => {
        writePieces(socket, pieces, delayMs);
      };
      const received = await relayedPatiently("/book/x", respond, undefined, [
        "a-9",
        "b-9",
      ]);
      assert.match(received, /^HTTP\/1.1 502/, String(status));
    }
});

test("a refusal that is written once more reaches the next request", async () => {
  for (const repeatAfterMs of [0, settleMs, 3 * settleMs]) {
    let attempts = 0;
    const running = await startTestRelay((socket) => {
      attempts += 1;
      if (attempts > 1) {
        const ok = `HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\nhello`;
        setTimeout(() => socket.write(ok), 2 * settleMs);
        return;
      }
      const text = refusal(503, "x-request: r1\r\nx-not-run: 1\r\n");
      socket.write(text);
      setTimeout(() => {
        if (socket.destroyed) return;
        socket.write(text.slice(0, 20));
        setTimeout(() => socket.write(text.slice(20)), 5);
      }, repeatAfterMs);
    });
    await running.extendTimeouts();
    const caller = RawCaller.create(running.port);
    caller.send(patientRequestText("/book/x").repeat(2));
    await caller.waitFor(/hello/, patientMs);
    await sleep(100);
    const statuses = caller.text.match(/HTTP\/1.1 \d+/g);
    assert.deepEqual(statuses, ["HTTP/1.1 503", "HTTP/1.1 200"]);
    await running.stop();
  }
});
