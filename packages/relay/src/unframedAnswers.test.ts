import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { RawResponder } from "./testing/rawReplica.js";
import { engines } from "./testing/scenario.js";
import {
  exchange,
  requestText,
  respondOk,
  sealed,
  startTestRelay,
  withReports,
  type TestRelay,
} from "./testing/testRelay.js";

// Load: answers that have neither a length nor chunks and end with their connection.
const head = `HTTP/1.1 200 OK\r\n${sealed}`;
const streamHead = `${head}content-type: text/event-stream\r\n\r\n`;
const eventTexts = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const firstEvent = eventTexts[0] ?? "";
const cutEvent = `${firstEvent}id: 2\nda`;
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
  headers: readonly string[] = [],
): Promise<string> => {
  const running = await startTestRelay((socket) => {
    write(socket, text, isReset);
  }, service);
  const received = await exchange(
    running.port,
    requestText(path, headers),
    900,
  );
  await running.stop();
  return received;
};

const stream = (text: string, isReset = false): Promise<string> =>
  relayed("/stream/x", engines, text, isReset);

const plain = (text: string, isReset = false): Promise<string> =>
  relayed("/check/x", undefined, text, isReset);

const bodyOf = (received: string): string =>
  received.slice(received.indexOf("\r\n\r\n") + 4);

const isWholeStream = (received: string): boolean =>
  received.startsWith("HTTP/1.1 200") && received.endsWith(chunkedEnd);

test("a whole stream without a length does not reach its caller whole", async () => {
  const received = await stream(streamHead + eventTexts.join(""));
  assert.match(received, /^HTTP\/1.1 200/);
  for (const text of eventTexts) assert.ok(received.includes(text));
  assert.ok(received.endsWith(chunkedEnd));
});

for (const isReset of [false, true]) {
  const how = isReset ? "reset" : "closed";
  test(`a stream without a length that is ${how} inside an event looks complete`, async () => {
    const text = `${streamHead}${cutEvent}`;
    const received = await stream(text, isReset);
    assert.equal(received.includes("id: 2"), false);
    assert.equal(received.endsWith(chunkedEnd), false);
  });

  test(`a stream without a length that is ${how} behind its head looks complete`, async () => {
    const received = await stream(streamHead, isReset);
    assert.equal(isWholeStream(received), false);
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

for (const [name, typeLine] of [
  ["with a media type of another case", "Content-Type: Text/Event-Stream\r\n"],
  ["without a media type", ""],
] as const) {
  const otherHead = `${head}${typeLine}\r\n`;
  test(`a stream ${name} that is closed inside an event looks complete`, async () => {
    const received = await stream(otherHead + cutEvent);
    assert.equal(received.includes("id: 2"), false);
    assert.equal(isWholeStream(received), false);
  });

  test(`a whole stream ${name} does not reach its caller whole`, async () => {
    const received = await stream(otherHead + eventTexts.join(""));
    for (const text of eventTexts) assert.ok(received.includes(text));
    assert.ok(isWholeStream(received));
  });
}

test("the empty rest of a resumed stream without a length is taken for broken off", async () => {
  const received = await relayed("/stream/x", engines, streamHead, false, [
    "last-event-id: 2",
  ]);
  assert.ok(isWholeStream(received));
});

/**
 * What a caller receives if the replica of its zone ends behind what it sent, and the
 * one of another zone answers in its own way.
 */
const relayedWithCrash = async (
  path: string,
  service: string | undefined,
  text: string,
  answerSecond: RawResponder,
): Promise<{ readonly received: string; readonly second: string }> => {
  const crash: RawResponder = (socket) => {
    running.replica.refuseConnections();
    write(socket, text, false);
  };
  const running: TestRelay = await startTestRelay(
    withReports(crash),
    service,
    ["a-9"],
    withReports(answerSecond),
  );
  const received = await exchange(running.port, requestText(path), 900);
  const second = running.second?.received.join("") ?? "";
  await running.stop();
  return { received, second };
};

const chunked = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;

const chunkedHead = `${streamHead.trimEnd()}\r\ntransfer-encoding: chunked\r\n\r\n`;

test("a stream that a crash closed behind its head does not go on elsewhere", async () => {
  const { received } = await relayedWithCrash(
    "/stream/x",
    engines,
    streamHead,
    (socket) => socket.end(chunkedHead + chunked(eventTexts.join(""))),
  );
  for (const text of eventTexts) assert.ok(received.includes(text));
  assert.ok(isWholeStream(received));
});

test("a stream that a crash closed between two events looks complete", async () => {
  const { received } = await relayedWithCrash(
    "/stream/x",
    engines,
    streamHead + firstEvent,
    (socket) => socket.destroy(),
  );
  assert.equal(isWholeStream(received), false);
});

test("a stream that a crash closed between two events does not go on elsewhere", async () => {
  const { received, second } = await relayedWithCrash(
    "/stream/x",
    engines,
    streamHead + firstEvent,
    (socket) => socket.end(chunkedHead + chunked(eventTexts[1] ?? "")),
  );
  assert.match(second, /^last-event-id: 1\r$/im);
  assert.equal(received.split("id: 1").length, 2);
  assert.equal(received.split("id: 2").length, 2);
  assert.ok(isWholeStream(received));
});

test("a whole plain answer without a length does not reach its caller whole", async () => {
  const received = await plain(`${head}\r\nhello, world`);
  assert.match(received, /^HTTP\/1.1 200/);
  assert.equal(bodyOf(received).includes("hello, world"), true);
});

test("a plain answer without a length that is reset midway looks complete", async () => {
  const received = await plain(`${head}\r\nhello, wor`, true);
  assert.match(received, /^HTTP\/1.1 502/);
});

// Load: a replica that resets the connection right behind a part of its body.
for (const [name, path, text] of [
  ["a plain answer", "/check/x", `${head}\r\nhel`],
  ["a booking's answer", "/book/x", `${head}\r\nhel`],
  ["a stream", "/stream/x", `${streamHead}${firstEvent}`],
] as const) {
  test(`${name} without a length looks complete although a reset follows its bytes at once`, async () => {
    const running = await startTestRelay(
      (socket) => {
        socket.write(text, () => {
          socket.resetAndDestroy();
        });
      },
      path === "/stream/x" ? engines : undefined,
    );
    const method = path === "/book/x" ? "POST" : "GET";
    const request = requestText(path, [], method);
    const received = await exchange(running.port, request, 900);
    await running.stop();
    assert.equal(received.endsWith("hel"), false);
    assert.equal(isWholeStream(received), false);
  });
}

test("a plain answer without a length looks complete although a crash ended it", async () => {
  const { received } = await relayedWithCrash(
    "/check/x",
    undefined,
    `${head}\r\nhello, wor`,
    respondOk,
  );
  assert.ok(received.endsWith("\r\n\r\nhello"));
});

test("a booking's answer without a length looks complete although a crash ended it", async () => {
  const { received, second } = await relayedWithCrash(
    "/book/x",
    undefined,
    `${head}\r\nhello, wor`,
    respondOk,
  );
  assert.match(received, /^HTTP\/1.1 502/);
  assert.equal(second, "");
});

test("an answer of an unknown transfer coding looks complete after a crash", async () => {
  const { received } = await relayedWithCrash(
    "/check/x",
    undefined,
    `${head}transfer-encoding: identity\r\n\r\nhello, wor`,
    respondOk,
  );
  assert.ok(received.endsWith("\r\n\r\nhello"));
});
