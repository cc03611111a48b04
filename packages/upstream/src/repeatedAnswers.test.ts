import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";
import { CallMethod } from "@cardamomglade/schema";
import { buildConnector } from "undici";
import { ServiceClient } from "./serviceClient.js";
import type { ServiceOutcome } from "./types.js";

const settleMs = 20;
const callMs = 20_000; // no call ends by its deadline

type Respond = (socket: Socket, call: number) => void;

const answer = (status: number, body: string): string =>
  `HTTP/1.1 ${String(status)} X\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`;

/** Calls a service that answers raw bytes some times, one call after the other. */
const callTimes = async (
  count: number,
  respond: Respond,
): Promise<ServiceOutcome[]> => {
  let calls = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => {
      calls += 1;
      respond(socket, calls);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = ServiceClient.create(buildConnector({}));
  const outcomes: ServiceOutcome[] = [];
  for (let index = 1; index <= count; index += 1) {
    const call = {
      requestId: `r${String(index)}`,
      method: CallMethod.Post,
      path: "/book",
      contentType: "text/plain",
      body: "x",
      deadline: now() + callMs,
    };
    outcomes.push(await client.call(`http://127.0.0.1:${String(port)}`, call));
    await sleep(settleMs);
  }
  await client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return outcomes;
};

// Load: a faulty service writes an earlier answer once more on a kept connection.
for (const status of [200, 503])
  for (const [moment, isSplit] of [
    ["before", false],
    ["during", false],
    ["during", true],
  ] as const)
    test(`an earlier answer ${String(status)} that is written once more ${moment} the next call is taken for its answer (${isSplit ? "split" : "whole"})`, async () => {
      const earlier = answer(status, "earlier");
      const outcomes = await callTimes(2, (socket, call) => {
        if (call === 1) {
          socket.write(earlier);
          const copyAfterMs = moment === "before" ? settleMs / 2 : settleMs;
          setTimeout(() => {
            if (socket.destroyed || moment === "during") return;
            socket.write(earlier);
          }, copyAfterMs);
          return;
        }
        const late = moment === "during" && socket.bytesWritten > 0;
        if (late) socket.write(isSplit ? earlier.slice(0, 9) : earlier);
        setTimeout(() => {
          if (late && isSplit) socket.write(earlier.slice(9));
          socket.write(answer(200, "own"));
        }, settleMs);
      });
      const second = outcomes[1];
      assert.ok(second?.type === "answered", JSON.stringify(second));
      assert.equal(second.body, "own");
    });

test("a service's answer that stops inside its head counts as answered or not sent", async () => {
  const whole = answer(200, "hello");
  for (const end of [0, 6, 11, 16, 24, whole.indexOf("\r\n\r\n") + 2]) {
    const [outcome] = await callTimes(1, (socket) => {
      socket.end(whole.slice(0, end));
    });
    assert.equal(outcome?.type, "unknown", String(end));
  }
});

test("a service's answer that stops inside its body counts as answered", async () => {
  const chunked =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel";
  for (const text of [answer(200, "hello").slice(0, -2), chunked]) {
    const [outcome] = await callTimes(1, (socket) => {
      socket.end(text);
    });
    assert.equal(outcome?.type, "unknown");
  }
});
