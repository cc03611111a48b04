import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { engines } from "./testing/scenario.js";
import {
  exchange,
  requestText,
  sealed,
  startTestRelay,
} from "./testing/testRelay.js";

// Load: answers that have neither a length nor chunks and end with their connection.
const head = `HTTP/1.1 200 OK\r\n${sealed}`;
const streamHead = `${head}content-type: text/event-stream\r\n\r\n`;
const eventTexts = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const chunkedEnd = "\r\n0\r\n\r\n";
const settleMs = 30;

const write = (socket: Socket, text: string, isReset: boolean): void => {
  socket.write(text);
  setTimeout(() => {
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  }, settleMs);
};

/** What a caller receives if a replica sends the text and then closes or resets. */
const relayed = async (
  path: string,
  service: string | undefined,
  text: string,
  isReset: boolean,
): Promise<string> => {
  const running = await startTestRelay((socket) => {
    write(socket, text, isReset);
  }, service);
  const received = await exchange(running.port, requestText(path), 900);
  await running.stop();
  return received;
};

const stream = (text: string, isReset = false): Promise<string> =>
  relayed("/stream/x", engines, text, isReset);

const plain = (text: string, isReset = false): Promise<string> =>
  relayed("/check/x", undefined, text, isReset);

const bodyOf = (received: string): string =>
  received.slice(received.indexOf("\r\n\r\n") + 4);

test("a whole stream without a length does not reach its caller whole", async () => {
  const received = await stream(streamHead + eventTexts.join(""));
  assert.match(received, /^HTTP\/1.1 200/);
  for (const text of eventTexts) assert.ok(received.includes(text));
  assert.ok(received.endsWith(chunkedEnd));
});

for (const isReset of [false, true]) {
  const how = isReset ? "reset" : "closed";
  test(`a stream without a length that is ${how} inside an event looks complete`, async () => {
    const text = `${streamHead}${eventTexts[0] ?? ""}id: 2\nda`;
    const received = await stream(text, isReset);
    assert.equal(received.includes("id: 2"), false);
    assert.equal(received.endsWith(chunkedEnd), false);
  });

  test(`a head that is ${how} inside a header line becomes an answer`, async () => {
    for (const send of [stream, plain]) {
      const received = await send(`${head}content-ty`, isReset);
      assert.match(received, /^HTTP\/1.1 502/);
    }
  });

  test(`an answer that is ${how} before its first byte becomes an answer`, async () => {
    for (const send of [stream, plain]) {
      assert.match(await send("", isReset), /^HTTP\/1.1 502/);
    }
  });
}

test("a whole plain answer without a length does not reach its caller whole", async () => {
  const received = await plain(`${head}\r\nhello, world`);
  assert.match(received, /^HTTP\/1.1 200/);
  assert.equal(bodyOf(received).includes("hello, world"), true);
});

test("a plain answer without a length that is reset midway looks complete", async () => {
  const received = await plain(`${head}\r\nhello, wor`, true);
  assert.match(received, /^HTTP\/1.1 502/);
});
