import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { TokenDecoder } from "./tokenDecoder.js";

test("text split into tokens at any byte decodes to the same text, with boundaries only between characters (seed 5)", () => {
  fc.assert(
    fc.property(
      fc.string({ unit: "grapheme", maxLength: 20 }),
      fc.array(fc.boolean(), { minLength: 80, maxLength: 80 }),
      (text, cuts) => {
        const source = Buffer.from(text);
        const reader = TokenDecoder.create();
        let read = "";
        let from = 0;
        for (let end = 1; end <= source.length; end += 1) {
          if (cuts[end % cuts.length] !== true && end < source.length) continue;
          const bytes = [...source.subarray(from, end)];
          read += reader.push({ id: 1, text: "", bytes });
          from = end;
          const isInsideCharacter = !Buffer.from(read).equals(
            source.subarray(0, end),
          );
          assert.equal(reader.isAtCharacterBoundary, !isInsideCharacter);
        }
        assert.equal(read + reader.end(), text);
      },
    ),
    { seed: 5, numRuns: 200 },
  );
});

test("an incomplete character is decoded as a replacement character", () => {
  const reader = TokenDecoder.create();
  assert.equal(reader.push({ id: 1, text: "", bytes: [0xc3] }), "");
  assert.equal(reader.isAtCharacterBoundary, false);
  assert.equal(reader.end(), "\ufffd");
});
