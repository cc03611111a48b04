import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./eventSplitter.js";

const eventText = (id: number): string =>
  `id: ${String(id)}\ndata: t${String(id)}\n\n`;

test("events come out complete and unchanged, however the bytes are split", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
      (count, sizes) => {
        const ids = Array.from({ length: count }, (_, index) => index + 1);
        const bytes = Buffer.from(ids.map(eventText).join(""));
        const splitter = EventSplitter.create();
        const seen: Buffer[] = [];
        let from = 0;
        for (let turn = 0; from < bytes.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          const { events } = splitter.push(bytes.subarray(from, from + size));
          seen.push(...events.map((event) => Buffer.from(event.bytes)));
          from += size;
        }
        assert.equal(seen.length, count);
        assert.deepEqual(Buffer.concat(seen), bytes);
        assert.equal(splitter.partialBytes(), 0);
      },
    ),
  );
});

test("any bytes give events or a typed error, never an exception", () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 200 })), (chunks) => {
      const splitter = EventSplitter.create();
      for (const chunk of chunks) {
        const { error } = splitter.push(Buffer.from(chunk));
        if (error !== undefined) return;
      }
    }),
  );
});

test("an event without an end is an error before it exhausts memory", () => {
  const splitter = EventSplitter.create();
  const chunk = Buffer.alloc(64 * 1024, "x");
  let error;
  for (let turn = 0; turn < 40 && error === undefined; turn += 1)
    ({ error } = splitter.push(chunk));
  assert.ok(error);
});
