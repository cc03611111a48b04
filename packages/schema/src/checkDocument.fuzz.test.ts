import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { validateIntent, validateSettings } from "../generated/validators.js";
import { checkDocument } from "./checkDocument.js";

const seed = 8;

const settings = {
  router: { name: "r", host: "h", zone: "z", region: "g" },
  listen: {
    callers: { address: "a", port: 0 },
    administration: { address: "a", port: 0 },
    peers: { address: "a", port: 0 },
  },
  keyValue: { endpoints: ["http://s"] },
  cursorKey: "0123456789abcdef",
  operators: [],
};
const intent = {
  customers: [],
  models: [],
  backEnds: [],
  deployments: [],
  services: [],
  leaving: [],
};

const keys = fc.oneof(
  fc.constantFrom(...Object.keys(settings), ...Object.keys(intent)),
  fc.constantFrom("__proto__", "constructor", "a/b~c", "0"),
  fc.string(),
);
const damagedDocuments = fc
  .tuple(fc.constantFrom(settings, intent), keys, fc.jsonValue())
  .map(([base, key, value]) => {
    const entries = [...Object.entries(base), [key, value] as const];
    const parts = entries.map(
      ([name, part]) => `${JSON.stringify(name)}: ${JSON.stringify(part)}`,
    );
    return `{\n${parts.join(",\n")}\n}`;
  });
const texts = fc.oneof(
  damagedDocuments,
  fc.json(),
  fc.string({ unit: "binary" }),
  fc
    .tuple(damagedDocuments, fc.nat(300))
    .map(([text, end]) => text.slice(0, end)),
);

test("any text gives a valid document or findings whose positions lie inside the text", () => {
  const property = fc.property(texts, (text) => {
    for (const validate of [validateSettings, validateIntent]) {
      const checked = checkDocument<unknown>("f.json", text, validate);
      if (checked.type === "ok") continue;
      assert.ok(checked.error.length > 0);
      const lines = text.split("\n");
      for (const { line, column } of checked.error) {
        assert.ok(line >= 1 && line <= lines.length);
        assert.ok(column >= 1 && column <= (lines[line - 1] ?? "").length + 1);
      }
    }
    assert.equal(({} as Record<string, unknown>).polluted, undefined);
  });
  fc.assert(property, { seed, numRuns: 400 });
});

test("a document nested 100000 levels deep gives a finding", () => {
  for (const open of ["[", '{"a":']) {
    const checked = checkDocument("f", open.repeat(100_000), validateIntent);
    assert.equal(checked.type, "err");
  }
});
