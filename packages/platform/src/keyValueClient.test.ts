import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { KeyValueClient } from "./keyValueClient.js";
import type { Transaction } from "./types.js";

const timeoutMs = 2000;
const put: Transaction = {
  compare: [],
  success: [{ type: "put", key: "k", value: "v" }],
  failure: [],
};

interface Answer {
  readonly status: number;
  readonly text: string;
}

// Starts a server that gives every call the same answer, or closes the connection if there is none.
const serve = async (answer: Answer | undefined) => {
  let arrivedCount = 0;
  const server: Server = createServer((req, res) => {
    arrivedCount += 1;
    req.resume();
    if (answer === undefined) {
      req.socket.destroy();
      return;
    }
    res.writeHead(answer.status);
    res.end(answer.text);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const endpoints = [`http://127.0.0.1:${String(port)}`];
  return {
    client: KeyValueClient.create({ endpoints }),
    server,
    arrivedCount: () => arrivedCount,
  };
};

const cases = [
  {
    name: "text that is not JSON",
    answer: { status: 200, text: "<html>" },
    outcome: "unknown",
  },
  {
    name: "an answer that fails validation",
    answer: { status: 200, text: `{"succeeded":"yes"}` },
    outcome: "unknown",
  },
  {
    name: "an unavailable service",
    answer: { status: 503, text: "" },
    outcome: "unknown",
  },
  {
    name: "a rejected transaction",
    answer: { status: 400, text: "{}" },
    outcome: "refused",
  },
  { name: "a closed connection", answer: undefined, outcome: "unknown" },
] as const;

for (const { name, answer, outcome } of cases) {
  test(`a write that meets ${name} ends as ${outcome} and is sent once`, async () => {
    const { client, server, arrivedCount } = await serve(answer);
    const ended = await client.transact(put, now() + timeoutMs);
    assert.equal(ended.type, outcome);
    assert.equal(arrivedCount(), 1);
    assert.equal(client.callCounts().write, 1);
    await client.close();
    server.close();
  });
}

test("calls are rejected without being sent while the service does not answer", async () => {
  const { client, server, arrivedCount } = await serve(undefined);
  for (let index = 0; index < 50; index += 1)
    await client.transact(put, now() + timeoutMs);
  assert.ok(arrivedCount() < 20, `${String(arrivedCount())} calls were sent`);
  assert.equal(client.callCounts().write, arrivedCount());
  await client.close();
  server.close();
});

test("a client does not exceed its budget of writes", async () => {
  const answer = { status: 200, text: `{"header":{"revision":"1"}}` };
  const { server, client: first } = await serve(answer);
  const { port } = server.address() as AddressInfo;
  const endpoints = [`http://127.0.0.1:${String(port)}`];
  const client = KeyValueClient.create({ endpoints, writesPerSecond: 5 });
  const ended = await Promise.all(
    Array.from({ length: 40 }, () => client.transact(put, now() + timeoutMs)),
  );
  const refused = ended.filter(
    (one) => one.type === "refused" && one.failure.type === "budget",
  );
  assert.equal(refused.length, 35);
  await Promise.all([client.close(), first.close()]);
  server.close();
});
