import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import fc from "fast-check";
import { buildConnector } from "undici";
import { Priority } from "@cardamomglade/schema";
import { EngineClient } from "./engineClient.js";
import type { EngineStreamEvent } from "./types.js";

const seed = 8;
const mib = 1024 * 1024;
let body: Buffer[] = [];
const server = createServer((_, res) => {
  res.writeHead(200, { "content-type": "text/event-stream" });
  for (const part of body) res.write(part);
  res.end();
});
const engines = EngineClient.create(buildConnector({}));
let url = "";

before(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
});

after(async () => {
  await engines.close();
  server.closeAllConnections();
  server.close();
});

const params = {
  requestId: "q",
  attempt: 0,
  model: "m",
  version: "v",
  prompt: "p",
  maxTokens: 9,
  stop: [],
  priority: Priority.Standard,
  prefix: [],
};

const readAll = (): Promise<EngineStreamEvent[]> =>
  new Promise((resolve) => {
    const events: EngineStreamEvent[] = [];
    engines.generate(url, params, (event) => {
      events.push(event);
      if (event.type !== "finished" && event.type !== "broken") return;
      // Waits one turn of the event loop to catch events after the last one.
      setImmediate(() => {
        resolve(events);
      });
    });
  });

const chunk = { id: "q.0", model: "m", version: "v", offset: 0, tokens: [] };
const chunks = fc.record(
  {
    id: fc.string(),
    model: fc.constant("m"),
    version: fc.constant("v"),
    offset: fc.oneof(fc.nat(9), fc.integer(), fc.string()),
    tokens: fc.oneof(
      fc.array(fc.record({ id: fc.nat(), text: fc.string() }), {
        maxLength: 3,
      }),
      fc.jsonValue(),
    ),
    finish_reason: fc.constantFrom("stop", "length", "other"),
  },
  { requiredKeys: ["id", "model", "version"] },
);
const event = fc.oneof(
  chunks.map((value) => `data: ${JSON.stringify(value)}\n\n`),
  fc.jsonValue().map((value) => `data: ${JSON.stringify(value)}\n\n`),
  fc.string({ unit: "binary" }),
  fc.constantFrom("data: [DONE]\n\n", "event: x\n", ":\n\n", "data: {\n\n"),
);

test("a stream ends exactly once, as finished or broken, for arbitrary engine output", async () => {
  const property = fc.asyncProperty(
    fc.array(event, { maxLength: 6 }),
    fc.nat(40),
    async (events, cut) => {
      const bytes = Buffer.from(events.join(""));
      body = [bytes.subarray(0, cut), bytes.subarray(cut)];
      const received = await readAll();
      const last = received.filter(
        ({ type }) => type === "finished" || type === "broken",
      );
      assert.equal(last.length, 1);
      assert.equal(received.at(-1), last[0]);
    },
  );
  await fc.assert(property, { seed, numRuns: 150 });
});

test("a stream is aborted as malformed if an event exceeds the size limit", async () => {
  body = [
    Buffer.from(`data: ${JSON.stringify(chunk)}\n\ndata: `),
    ...Array.from({ length: 8 }, () => Buffer.alloc(mib, "a")),
  ];
  const received = await readAll();
  const last = received.at(-1);
  assert.equal(last?.type, "broken");
  assert.equal(last.cause.type, "malformed");
});
