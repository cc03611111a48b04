import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import {
  answerInPart,
  End,
  Framing,
  largeUploadBytes,
  mayBeWhole,
  oddStatuses,
  Upload,
  uploadBytes,
  writeAndEnd,
  type UploadCase,
} from "@cardamomglade/common/testing/answersDuringUploads";
import { CallMethod, Priority } from "@cardamomglade/schema";
import { buildConnector } from "undici";
import { EngineClient } from "./engineClient.js";
import { ServiceClient } from "./serviceClient.js";
import type { EngineStreamEvent, ServiceOutcome } from "./types.js";

// Load: servers answer a part while they are sent a long body, and end the connection.
const budgetMs = 1000;
const patientMs = 20_000; // more than a busy machine needs
const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

const respondInPart = (socket: Socket, one: UploadCase, part: string): void => {
  const { framing, upload } = one;
  let receivedBytes = 0;
  let isAnswered = false;
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => {
    receivedBytes += chunk.length;
    if (isAnswered) return;
    if (upload === Upload.Written && receivedBytes < uploadBytes) return;
    isAnswered = true;
    writeAndEnd(socket, one, answerInPart(framing, head, part));
  });
};

/** Runs a request against a server that answers raw bytes. */
const withServer = async <Result>(
  onConnection: (socket: Socket) => void,
  send: (url: string) => Promise<Result>,
): Promise<Result> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    onConnection(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    return await send(`http://127.0.0.1:${String(port)}`);
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
};

const callOnce = async (
  url: string,
  ms: number,
  bytes = uploadBytes,
): Promise<ServiceOutcome> => {
  const client = ServiceClient.create(buildConnector({}));
  const outcome = await client.call(url, {
    requestId: "r1",
    method: CallMethod.Post,
    path: "/book",
    contentType: "text/plain",
    body: "x".repeat(bytes),
    deadline: now() + ms,
  });
  await client.close();
  return outcome;
};

/** The last event of an engine's stream; undefined if none came in time. */
const streamOnce = async (
  url: string,
): Promise<EngineStreamEvent | undefined> => {
  const client = EngineClient.create(buildConnector({}));
  const params = {
    requestId: "r1",
    attempt: 0,
    model: "m",
    version: "v",
    prompt: "x".repeat(uploadBytes),
    maxTokens: 9,
    stop: [],
    priority: Priority.Standard,
    prefix: [],
  };
  const last = await new Promise<EngineStreamEvent | undefined>((resolve) => {
    const timer = setTimeout(resolve, budgetMs, undefined);
    client.generate(url, params, (event) => {
      if (event.type === "tokens") return;
      clearTimeout(timer);
      resolve(event);
    });
  });
  await client.close();
  return last;
};

const part = "hello, wor";
const chunk = {
  id: "r1.0",
  model: "m",
  version: "v",
  offset: 0,
  tokens: [{ id: 0, text: "t" }],
};
const event = `data: ${JSON.stringify(chunk)}\n\n`;

for (const framing of Object.values(Framing))
  for (const upload of Object.values(Upload))
    for (const end of Object.values(End)) {
      const one = { framing, end, upload };
      const name = `${framing} is taken for whole, or a whole one lost (${end}, upload ${upload})`;

      test(`a part of a service's answer with ${name}`, async () => {
        const outcome = await withServer(
          (socket) => {
            respondInPart(socket, one, part);
          },
          (url) => callOnce(url, mayBeWhole(one) ? patientMs : budgetMs),
        );
        const expected = mayBeWhole(one) ? "answered" : "unknown";
        assert.equal(outcome.type, expected, JSON.stringify(outcome));
      });

      test(`a part of an engine's stream with ${name}`, async () => {
        const last = await withServer((socket) => {
          respondInPart(socket, one, event);
        }, streamOnce);
        assert.notEqual(last?.type, "finished");
      });
    }

test("a service's answer without a length is taken for whole while the router still holds a part of the body", async () => {
  const one = {
    framing: Framing.Neither,
    end: End.HalfClosed,
    upload: Upload.Stopped,
  };
  const outcome = await withServer(
    (socket) => {
      respondInPart(socket, one, part);
    },
    (url) => callOnce(url, budgetMs, largeUploadBytes),
  );
  assert.equal(outcome.type, "unknown", JSON.stringify(outcome));
});

for (const status of oddStatuses) {
  const answer = `HTTP/1.1 ${status} X\r\ncontent-length: ${String(event.length)}\r\n\r\n${event}`;
  const respond = (socket: Socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.resume();
      socket.end(answer);
    });
  };

  test(`a service's answer whose status is "${status}" is passed on`, async () => {
    const outcome = await withServer(respond, (url) => callOnce(url, budgetMs));
    assert.equal(outcome.type, "unknown", JSON.stringify(outcome));
  });

  test(`an engine's answer whose status is "${status}" is taken for a stream`, async () => {
    const last = await withServer(respond, streamOnce);
    assert.equal(last?.type, "broken");
  });
}
