import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { eventually } from "@cardamomglade/common/testing/eventually";
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

const waitMs = 1800;
const chunkBytes = 64 * 1024;
const writeIntervalMs = 1;
// Two buffered answers of the largest size that is taken, beside the process itself.
const maxGrowthBytes = 96 * 1024 * 1024;

/** Repeats bytes until the relay closes the connection. */
const repeat = (socket: Socket, bytes: string | Buffer): void => {
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) socket.write(bytes);
  }, writeIntervalMs);
  socket.on("close", () => {
    clearInterval(timer);
  });
};

const endlessly =
  (start: string, bytes: string): RawResponder =>
  (socket) => {
    socket.write(start);
    repeat(socket, bytes);
  };

const filler = "x".repeat(chunkBytes);
const ok = "HTTP/1.1 200 OK\r\n";

// Load: a replica in trouble sends bytes that are no answer until its caller closes.
const endlessCases: Readonly<Record<string, RawResponder>> = {
  "a status line": endlessly("HTTP/1.1 200 ", filler),
  "a header": endlessly(`${ok}x-long: `, filler),
  headers: endlessly(ok, "x-one: two\r\n".repeat(1000)),
  "informational responses": endlessly(
    "",
    "HTTP/1.1 100 Continue\r\n\r\n".repeat(200),
  ),
  "a body without a length": endlessly(`${ok}${sealed}\r\n`, filler),
  "a chunked body": endlessly(
    `${ok}${sealed}transfer-encoding: chunked\r\n\r\n`,
    `${chunkBytes.toString(16)}\r\n${filler}\r\n`,
  ),
  "a chunk extension": endlessly(
    `${ok}${sealed}transfer-encoding: chunked\r\n\r\n5;`,
    filler,
  ),
  "a trailer": endlessly(
    `${ok}${sealed}transfer-encoding: chunked\r\n\r\n0\r\nx-trailer: `,
    filler,
  ),
  "bytes that are not HTTP": endlessly("", filler),
};

for (const [name, respond] of Object.entries(endlessCases))
  test(`endless bytes in ${name} end the attempt with bounded memory`, async () => {
    let openConnections = 0;
    const { port, stop, extendTimeouts } = await startTestRelay(
      (socket, text) => {
        openConnections += 1;
        socket.on("close", () => (openConnections -= 1));
        respond(socket, text);
      },
    );
    await extendTimeouts();
    const before = process.memoryUsage().rss;
    const request = patientRequestText("/book/x", ["connection: close"]);
    const answer = await exchange(port, request, patientMs);
    assert.match(answer, /^HTTP\/1.1 502/);
    await eventually(() => openConnections === 0, "the connection is closed");
    assert.ok(process.memoryUsage().rss - before < maxGrowthBytes);
    await stop();
  });

test("a status that no answer has is not passed on and leaves no caller waiting", async () => {
  for (const status of ["000", "099", "600", "999"]) {
    const { port, stop } = await startTestRelay((socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\n${sealed}content-length: 0\r\n\r\n`);
    });
    const answer = await exchange(port, requestText("/book/x"), waitMs);
    assert.match(answer, /^HTTP\/1.1 502/, status);
    await stop();
  }
});

test("no bytes of a replica stop the relay or leave a caller without an end (seed 5)", async () => {
  let bytes = "";
  const { port, stop, extendTimeouts } = await startTestRelay(
    (socket, text) => {
      if (bytes === "") respondOk(socket, text);
      else socket.end(bytes);
    },
  );
  await extendTimeouts();
  const starts = ["", ok, `${ok}${sealed}`, `HTTP/1.1 101 X\r\n${sealed}\r\n`];
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...starts),
      fc.string({ unit: "binary-ascii", maxLength: 200 }),
      async (start, rest) => {
        bytes = start + rest;
        const once = patientRequestText("/book/x", ["connection: close"]);
        const answer = await exchange(port, once, patientMs);
        assert.match(answer, /^HTTP\/1.1 (200|502)/);
      },
    ),
    { seed: 5, numRuns: 60 },
  );
  bytes = "";
  assert.match(await exchange(port, requestText("/book/x")), /hello$/);
  await stop();
});

// Load: a replica that is done with a request sends its answer once more, later.
test("a late copy of an answer reaches no later caller", async () => {
  let answers = 0;
  const { port, stop } = await startTestRelay((socket) => {
    answers += 1;
    const head = `${ok}${sealed}content-length: 5\r\n\r\n`;
    socket.write(`${head}hell${String(answers)}`);
    setTimeout(() => {
      if (!socket.destroyed) socket.write(`${head}late!`);
    }, 20);
  });
  for (let call = 1; call <= 5; call += 1) {
    const answer = await exchange(port, requestText("/book/x"));
    assert.ok(answer.endsWith(`hell${String(call)}`), answer);
  }
  await stop();
});

// Load: a replica that is released says so in all its answers, before the store shows it.
test("a replica whose answer says that it leaves gets the next request", async () => {
  const heads = [
    `${ok}${sealed}`,
    "HTTP/1.1 503 X\r\nx-request: r1\r\nx-not-run: 1\r\n",
    "HTTP/1.1 500 X\r\nx-request: r1\r\n",
  ];
  for (const head of heads) {
    const { port, replica, lines, stop } = await startTestRelay((socket) => {
      socket.end(`${head}x-leaving: 1\r\ncontent-length: 5\r\n\r\nhello`);
    });
    const once = requestText("/book/x", ["connection: close"]);
    await exchange(port, once);
    const answer = await exchange(port, once);
    assert.match(answer, /^HTTP\/1.1 503/);
    assert.equal(replica.received.length, 1);
    assert.ok(lines.includes("replica says that it leaves"));
    await stop();
  }
});
