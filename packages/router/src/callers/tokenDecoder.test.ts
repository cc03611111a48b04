import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { TokenDecoder } from "./tokenDecoder.js";

test("a text cut into tokens at any byte is whole again, and whole only between characters (seed 5)", () => {
  fc.assert(
    fc.property(
      fc.string({ unit: "grapheme", maxLength: 20 }),
      fc.array(fc.boolean(), { minLength: 80, maxLength: 80 }),
      (text, cuts) => {
        const source = Buffer.from(text);
        const decoder = TokenDecoder.create();
        let decoded = "";
        let from = 0;
        for (let end = 1; end <= source.length; end += 1) {
          if (cuts[end % cuts.length] !== true && end < source.length) continue;
          const bytes = [...source.subarray(from, end)];
          decoded += decoder.push({ id: 1, text: "", bytes });
          from = end;
          const isInsideCharacter = !Buffer.from(decoded).equals(
            source.subarray(0, end),
          );
          assert.equal(decoder.isAtCharacterBoundary, !isInsideCharacter);
        }
        assert.equal(decoded + decoder.end(), text);
      },
    ),
    { seed: 5, numRuns: 200 },
  );
});

test("a character that never ends becomes a replacement character", () => {
  const reader = TokenDecoder.create();
  assert.equal(reader.push({ id: 1, text: "", bytes: [0xc3] }), "");
  assert.equal(reader.isAtCharacterBoundary, false);
  assert.equal(reader.end(), "\ufffd");
});
