import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import fc from "fast-check";
import { now } from "@cardamomglade/common";
import { KeyValueClient } from "./keyValueClient.js";
import type { WatchEvent } from "./types.js";

const seed = 8;
const mib = 1024 * 1024;
const timeoutMs = 10_000;
let answer: readonly (Buffer | string)[] = [];
const server = createServer((req, res) => {
  req.resume();
  res.writeHead(200, { "content-type": "application/json" });
  for (const part of answer) res.write(part);
  res.end();
});
let client: KeyValueClient;

before(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  client = KeyValueClient.create({
    endpoints: [`http://127.0.0.1:${String(port)}`],
  });
});

after(async () => {
  await client.close();
  server.closeAllConnections();
  server.close();
});

const loose = fc.oneof(fc.string(), fc.nat().map(String), fc.jsonValue());
const entry = fc.record(
  { key: loose, value: loose, mod_revision: loose, create_revision: loose },
  { requiredKeys: [] },
);
const header = fc.record({ revision: loose }, { requiredKeys: [] });
const body = fc.oneof(
  fc.record(
    {
      header,
      kvs: fc.oneof(fc.array(entry, { maxLength: 3 }), fc.jsonValue()),
      succeeded: fc.boolean(),
      responses: fc.oneof(
        fc.array(fc.record({ response_range: fc.jsonValue() }), {
          maxLength: 3,
        }),
        fc.jsonValue(),
      ),
      TTL: loose,
      result: fc.oneof(
        fc.record({
          header,
          events: fc.array(fc.record({ kv: entry }), { maxLength: 2 }),
        }),
        fc.jsonValue(),
      ),
    },
    { requiredKeys: [] },
  ),
  fc.jsonValue(),
);
const text = fc.oneof(
  body.map((value) => JSON.stringify(value)),
  fc.string({ unit: "binary" }),
);

test("a malformed answer gives an unknown outcome, never a refusal, an exception or a number that is not an integer", async () => {
  const property = fc.asyncProperty(text, async (sent) => {
    answer = [sent];
    const deadline = now() + timeoutMs;
    const transaction = { compare: [], success: [], failure: [] };
    const range = await client.range("k", { prefix: false, deadline });
    const result = await client.transact(transaction, deadline);
    const lease = await client.keepLeaseAlive("1", deadline);
    for (const { type } of [range, result, lease])
      assert.ok(type === "done" || type === "unknown");
    if (range.type === "done") {
      const { revision, entries } = range.value;
      const revisions = entries.map(({ modRevision }) => modRevision);
      assert.ok([revision, ...revisions].every(Number.isSafeInteger));
    }
    if (lease.type === "done")
      assert.ok(Number.isSafeInteger(lease.value.ttlMs));
  });
  await fc.assert(property, { seed, numRuns: 120 });
});

const watchOnce = (): Promise<WatchEvent[]> =>
  new Promise((resolve) => {
    const events: WatchEvent[] = [];
    client.watch(
      "k",
      { prefix: false, after: { era: 0, revision: 0 } },
      (event) => {
        events.push(event);
        if (event.type === "lost") resolve(events);
      },
    );
  });

test("a watch that receives malformed lines reports lost exactly once", async () => {
  const lines = fc.array(text, { maxLength: 4 });
  const property = fc.asyncProperty(lines, async (sent) => {
    answer = sent.map((line) => `${line}\n`);
    const events = await watchOnce();
    assert.equal(events.filter(({ type }) => type === "lost").length, 1);
  });
  await fc.assert(property, { seed, numRuns: 120 });
});

test("an endless answer and an endless watch line are cut off at the size limit", async () => {
  answer = Array.from({ length: 40 }, () => Buffer.alloc(mib, "1"));
  const deadline = now() + timeoutMs;
  const range = await client.range("k", { prefix: false, deadline });
  assert.equal(range.type, "unknown");
  const events = await watchOnce();
  assert.match(JSON.stringify(events), /exceeds/);
});
