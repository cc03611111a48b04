import assert from "node:assert/strict";
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { assertNever, now } from "@cardamomglade/common";
import { CallMethod, FinishReason, Priority } from "@cardamomglade/schema";
import { buildConnector } from "undici";
import { EngineClient } from "./engineClient.js";
import { ServiceClient } from "./serviceClient.js";
import type { EngineStreamEvent, ServiceOutcome } from "./types.js";

// Load: answers that have neither a length nor chunks and end with their connection.
const head = "HTTP/1.1 200 OK\r\n";

/** How a process ends its connection behind the bytes that it answers. */
enum End {
  Close = "close",
  /** It refuses connections from then on. */
  Crash = "crash",
  /** It resets the connection at once. */
  Reset = "reset",
  /** It resets the connection after the bytes have arrived. */
  LaterReset = "laterReset",
}

const laterMs = 50;

const endConnection = (socket: Socket, server: Server, end: End): void => {
  switch (end) {
    case End.Crash:
      server.close();
      socket.end();
      return;
    case End.Close:
      socket.end();
      return;
    case End.Reset:
      socket.resetAndDestroy();
      return;
    case End.LaterReset:
      setTimeout(() => socket.resetAndDestroy(), laterMs);
      return;
    default:
      assertNever(end);
  }
};

/** A process that answers raw bytes and ends its connection. */
const startRaw = async (
  text: string,
  end: End,
): Promise<{ readonly url: string; readonly server: Server }> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(text, () => {
        endConnection(socket, server, end);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${String(port)}`, server };
};

const callOnce = async (text: string, end: End): Promise<ServiceOutcome> => {
  const { url, server } = await startRaw(text, end);
  const client = ServiceClient.create(buildConnector({}));
  const outcome = await client.call(url, {
    requestId: "r1",
    method: CallMethod.Post,
    path: "/book",
    contentType: "text/plain",
    body: "x",
    deadline: now() + 1000,
  });
  await client.close();
  server.close();
  return outcome;
};

test("a service's answer without a length is taken for whole although a crash ended it", async () => {
  const outcome = await callOnce(`${head}\r\nhello, wor`, End.Crash);
  assert.equal(outcome.type, "unknown");
});

test("a service's whole answer without a length is not taken for one", async () => {
  const outcome = await callOnce(`${head}\r\nhello`, End.Close);
  assert.ok(outcome.type === "answered");
  assert.equal(outcome.body, "hello");
});

test("a service's answer that has a length is not taken for whole after a crash", async () => {
  const text = `${head}content-length: 5\r\n\r\nhello`;
  const outcome = await callOnce(text, End.Crash);
  assert.equal(outcome.type, "answered");
});

// Load: a service that lives and resets the connection behind a part of its answer.
for (const end of [End.Reset, End.LaterReset])
  test(`a service's answer without a length is taken for whole although its connection was reset (${end})`, async () => {
    const outcome = await callOnce(`${head}\r\nhello, wor`, end);
    assert.equal(outcome.type, "unknown");
  });

test("a service's answer that has a length is lost with a reset behind it", async () => {
  const text = `${head}content-length: 5\r\n\r\nhello`;
  const outcome = await callOnce(text, End.LaterReset);
  assert.equal(outcome.type, "answered");
});

const chunkOf = (offset: number, finishReason?: FinishReason): string => {
  const tokens = [{ id: offset, text: "t" }];
  const reason = finishReason && { finish_reason: finishReason };
  const chunk = {
    id: "r1.0",
    model: "m",
    version: "v",
    offset,
    tokens,
    ...reason,
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
};

/** Events of an engine's stream until its last one. */
const streamOf = async (body: string): Promise<EngineStreamEvent[]> => {
  const text = `${head}content-type: text/event-stream\r\n\r\n${body}`;
  const { url, server } = await startRaw(text, End.Close);
  const client = EngineClient.create(buildConnector({}));
  const events: EngineStreamEvent[] = [];
  const params = {
    requestId: "r1",
    attempt: 0,
    model: "m",
    version: "v",
    prompt: "p",
    maxTokens: 9,
    stop: [],
    priority: Priority.Standard,
    prefix: [],
  };
  await new Promise<void>((resolve) => {
    client.generate(url, params, (event) => {
      events.push(event);
      if (event.type !== "tokens") resolve();
    });
  });
  await client.close();
  server.close();
  return events;
};

for (const [where, body] of [
  ["behind its head", ""],
  ["inside a chunk", chunkOf(0) + chunkOf(1).slice(0, 12)],
  ["between two chunks", chunkOf(0)],
] as const)
  test(`an engine's stream without a length that is closed ${where} is taken for whole`, async () => {
    const events = await streamOf(body);
    assert.equal(events.at(-1)?.type, "broken");
  });

test("an engine's whole stream without a length is taken for broken off", async () => {
  const events = await streamOf(chunkOf(0) + chunkOf(1, FinishReason.Stop));
  assert.deepEqual(
    events.map(({ type }) => type),
    ["tokens", "tokens", "finished"],
  );
});
