import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { validatePeerMessage, type PeerMessage } from "@cardamomglade/schema";
import { decodeMessage, encodeMessage } from "./codec.js";

const seed = 8;

const claimQuestions = fc.record({
  type: fc.constant("claimQuestion" as const),
  at: fc.string(),
  request: fc.string(),
  shard: fc.nat(255),
  key: fc.string({ unit: "binary" }),
  bodyHash: fc.string(),
  remainingMs: fc.nat(),
});
const configOffers = fc.record({
  type: fc.constant("configOffer" as const),
  revision: fc.nat(),
  document: fc.string(),
});
const messages: fc.Arbitrary<PeerMessage> = fc.oneof(
  claimQuestions,
  configOffers,
);

test("a corrupted or truncated message decodes to a valid message or to undefined", () => {
  const byteChanges = fc.array(fc.tuple(fc.nat(), fc.nat(255)), {
    maxLength: 8,
  });
  const property = fc.property(
    messages,
    byteChanges,
    fc.nat(),
    (message, changes, cut) => {
      const bytes = Uint8Array.from(encodeMessage(message));
      for (const [at, value] of changes) bytes[at % bytes.length] = value;
      const truncated = bytes.subarray(0, cut % (bytes.length + 1));
      for (const damaged of [bytes, truncated]) {
        const decoded = decodeMessage(damaged);
        assert.ok(decoded === undefined || validatePeerMessage(decoded));
      }
    },
  );
  fc.assert(property, { seed, numRuns: 600 });
});

test("a length prefix beyond the received bytes causes no large allocation", () => {
  // MessagePack headers str 32, bin 32, array 32 and map 32, each with length 2^32 - 1.
  for (const header of [0xdb, 0xc6, 0xdd, 0xdf]) {
    const bytes = Uint8Array.from([header, 0xff, 0xff, 0xff, 0xff, 1]);
    const before = process.memoryUsage().rss;
    assert.equal(decodeMessage(bytes), undefined);
    assert.ok(process.memoryUsage().rss - before < 256 * 1024 * 1024);
  }
});
