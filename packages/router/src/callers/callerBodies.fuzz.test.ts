import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { statusOf } from "../errors.js";
import { parseGeneration } from "./parseGeneration.js";
import { TokenDecoder } from "./tokenDecoder.js";

const seed = 8;

const anyValue = fc.oneof(
  fc.string(),
  fc.integer(),
  fc.double(),
  fc.jsonValue(),
);
const bodies = fc.record(
  {
    model: anyValue,
    prompt: anyValue,
    messages: fc.oneof(
      fc.array(
        fc.record(
          { role: fc.constantFrom("user", "x"), content: anyValue },
          { requiredKeys: [] },
        ),
      ),
      fc.jsonValue(),
    ),
    max_tokens: anyValue,
    stream: anyValue,
    stop: anyValue,
    prefix: anyValue,
  },
  { requiredKeys: [] },
);
const texts = fc.oneof(
  bodies.map((body) => JSON.stringify(body)),
  fc.json(),
  fc.string({ unit: "binary" }),
  fc.constantFrom("", "null", "[".repeat(100_000), '{"__proto__":{"a":1}}'),
);

test("any body parses to a valid generation or a typed error", () => {
  const shapes = fc.constantFrom("chat" as const, "completion" as const);
  const property = fc.property(texts, shapes, (text, shape) => {
    const parsed = parseGeneration(text, shape);
    if (parsed.type === "err") {
      assert.ok(statusOf(parsed.error) >= 400);
      assert.equal(parsed.error.ran, "no");
      return;
    }
    const { maxTokens, model, prompt } = parsed.value;
    assert.ok(Number.isInteger(maxTokens) && maxTokens > 0);
    assert.equal(typeof model, "string");
    assert.equal(typeof prompt, "string");
  });
  fc.assert(property, { seed, numRuns: 600 });
});

test("text split into tokens at any byte decodes to the same text", () => {
  const property = fc.property(
    fc.string({ unit: "binary" }),
    fc.array(fc.nat(30)),
    (text, cuts) => {
      const bytes = Buffer.from(text);
      const boundaries = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      const tokens = boundaries.slice(1).map((end, index) => ({
        id: index,
        text: "",
        bytes: [...bytes.subarray(boundaries[index], end)],
      }));
      const decoder = TokenDecoder.create();
      const decoded = tokens.map((token) => decoder.push(token)).join("");
      assert.equal(decoded + decoder.end(), bytes.toString());
    },
  );
  fc.assert(property, { seed, numRuns: 300 });
});
