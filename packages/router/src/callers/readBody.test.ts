import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { memoryUsage } from "node:process";
import { readBody } from "./readBody.js";

const chunkCount = 300_000;
const maxHeldBytes = 20 * chunkCount; // a buffer for each chunk takes hundreds

/** A body in chunks of a byte that measures the memory before its end. */
const bodyOf = (onLast: () => void): Readable => {
  let sent = 0;
  return new Readable({
    read() {
      sent += 1;
      if (sent <= chunkCount) this.push(Buffer.from(new Uint8Array([120])));
      else {
        onLast();
        this.push(null);
      }
    },
  });
};

const collect = (): number => {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = memoryUsage();
  return heapUsed + arrayBuffers;
};

// Load: a caller that sends its body in chunks of a byte.
test("a body in chunks of a byte takes far more memory than its bytes", async () => {
  const { setFlagsFromString } = await import("node:v8");
  setFlagsFromString("--expose-gc");
  const { runInNewContext } = await import("node:vm");
  globalThis.gc = runInNewContext("gc") as NonNullable<typeof globalThis.gc>;
  const before = collect();
  let heldBytes = 0;
  const body = await readBody(
    bodyOf(() => (heldBytes = collect() - before)),
    chunkCount,
  );
  assert.ok(body.type === "ok");
  assert.equal(body.value, "x".repeat(chunkCount));
  assert.ok(heldBytes < maxHeldBytes, String(heldBytes));
});

test("a body over its limit is read", async () => {
  const body = await readBody(
    Readable.from([Buffer.alloc(6), Buffer.alloc(5)]),
    10,
  );
  assert.equal(body.type, "err");
});
