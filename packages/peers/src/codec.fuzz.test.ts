import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { validatePeerMessage, type PeerMessage } from "@cardamomglade/schema";
import { decodeMessage, encodeMessage } from "./codec.js";

const seed = 8;

const questions = fc.record({
  type: fc.constant("claimQuestion" as const),
  at: fc.string(),
  request: fc.string(),
  shard: fc.nat(255),
  key: fc.string({ unit: "binary" }),
  bodyHash: fc.string(),
  remainingMs: fc.nat(),
});
const offers = fc.record({
  type: fc.constant("configOffer" as const),
  revision: fc.nat(),
  document: fc.string(),
});
const messages: fc.Arbitrary<PeerMessage> = fc.oneof(questions, offers);

test("a damaged message decodes to a valid one or to nothing", () => {
  const flips = fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 8 });
  const property = fc.property(
    messages,
    flips,
    fc.nat(),
    (message, all, cut) => {
      const bytes = Uint8Array.from(encodeMessage(message));
      for (const [at, value] of all) bytes[at % bytes.length] = value;
      const kept = bytes.subarray(0, cut % (bytes.length + 1));
      for (const damaged of [bytes, kept]) {
        const decoded = decodeMessage(damaged);
        assert.ok(decoded === undefined || validatePeerMessage(decoded));
      }
    },
  );
  fc.assert(property, { seed, numRuns: 600 });
});

test("a length that the bytes do not hold allocates nothing", () => {
  // Headers of a text, bytes, a list and a map of 2 to the 32 less 1.
  for (const header of [0xdb, 0xc6, 0xdd, 0xdf]) {
    const bytes = Uint8Array.from([header, 0xff, 0xff, 0xff, 0xff, 1]);
    const before = process.memoryUsage().rss;
    assert.equal(decodeMessage(bytes), undefined);
    assert.ok(process.memoryUsage().rss - before < 256 * 1024 * 1024);
  }
});
