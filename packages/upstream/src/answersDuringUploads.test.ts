import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { assertNever, now } from "@cardamomglade/common";
import { CallMethod, Priority } from "@cardamomglade/schema";
import { buildConnector } from "undici";
import { EngineClient } from "./engineClient.js";
import { ServiceClient } from "./serviceClient.js";
import type { EngineStreamEvent, ServiceOutcome } from "./types.js";

// Load: servers answer a part while they are sent a long body, and end the connection.
const uploadBytes = 1024 * 1024;
const largeUploadBytes = 8 * 1024 * 1024; // more than the system takes for a server that does not read
const budgetMs = 1000;
const patientMs = 20_000; // more than a busy machine needs
const settleMs = 20;
const readIntervalMs = 5;

/** What marks the end of an answer. */
enum Framing {
  Length = "a length",
  Chunks = "chunks",
  Neither = "neither",
}

/** How a server ends its connection behind a part of its answer. */
enum End {
  Closed = "closed",
  Reset = "reset",
  HalfClosed = "half closed",
}

/** How much of the body a server reads. */
enum Upload {
  Written = "written",
  /** It answers at the first bytes, and reads on slowly while its connection lasts. */
  BeingWritten = "being written",
  /** It answers at the first bytes, and reads no more. */
  Stopped = "stopped",
}

interface Case {
  readonly framing: Framing;
  readonly end: End;
  readonly upload: Upload;
}

const answerOf = (framing: Framing, part: string): string => {
  const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
  switch (framing) {
    case Framing.Length:
      return `${head}content-length: ${String(part.length + 2)}\r\n\r\n${part}`;
    case Framing.Chunks:
      return `${head}transfer-encoding: chunked\r\n\r\n${part.length.toString(16)}\r\n${part}\r\n`;
    case Framing.Neither:
      return `${head}\r\n${part}`;
    default:
      return assertNever(framing);
  }
};

const endConnection = (socket: Socket, end: End): void => {
  switch (end) {
    case End.Closed:
      socket.destroy();
      return;
    case End.Reset:
      socket.resetAndDestroy();
      return;
    case End.HalfClosed:
      socket.end();
      return;
    default:
      assertNever(end);
  }
};

/** Reads one part of a body after the other, for longer than an answer takes to end. */
const readSlowly = (socket: Socket): void => {
  const pause = () => {
    socket.pause();
    setTimeout(() => socket.resume(), readIntervalMs);
  };
  socket.on("data", pause);
  pause();
};

const answerInPart = (socket: Socket, one: Case, part: string): void => {
  const { framing, end, upload } = one;
  let receivedBytes = 0;
  let isAnswered = false;
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => {
    receivedBytes += chunk.length;
    if (isAnswered) return;
    if (upload === Upload.Written && receivedBytes < uploadBytes) return;
    isAnswered = true;
    if (upload === Upload.Stopped) socket.pause();
    if (upload === Upload.BeingWritten) readSlowly(socket);
    socket.write(answerOf(framing, part), () => {
      setTimeout(() => {
        endConnection(socket, end);
      }, settleMs);
    });
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

/** Whether the end of the connection may say that the answer is whole: the server has taken the body. */
const mayBeWhole = ({ framing, end, upload }: Case): boolean => {
  if (framing !== Framing.Neither || end === End.Reset) return false;
  return (
    upload === Upload.Written ||
    (upload === Upload.BeingWritten && end === End.HalfClosed)
  );
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
            answerInPart(socket, one, part);
          },
          (url) => callOnce(url, mayBeWhole(one) ? patientMs : budgetMs),
        );
        const expected = mayBeWhole(one) ? "answered" : "unknown";
        assert.equal(outcome.type, expected, JSON.stringify(outcome));
      });

      test(`a part of an engine's stream with ${name}`, async () => {
        const last = await withServer((socket) => {
          answerInPart(socket, one, event);
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
      answerInPart(socket, one, part);
    },
    (url) => callOnce(url, budgetMs, largeUploadBytes),
  );
  assert.equal(outcome.type, "unknown", JSON.stringify(outcome));
});

const statuses = ["000", "0", "99", "600", "999", "1000", "101", "20", "2000"];
const oddStatuses = ["abc", "-200", ""];

for (const status of [...statuses, ...oddStatuses]) {
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
