import assert from "node:assert/strict";
import { test } from "node:test";
import { validateSettings } from "../generated/validators.js";
import { checkDocument } from "./checkDocument.js";

const invalidSettings = `{
  "router": { "name": "r1", "host": "h1", "zone": "z1", "regoin": "g1" },
  "listen": {
    "callers": { "address": "127.0.0.1", "port": 70000 },
    "administration": { "address": "127.0.0.1", "port": "8081" },
    "peers": { "address": "127.0.0.1", "port": 0 }
  },
  "keyValue": { "endpoints": ["ftp://store"] },
  "cursorKey": "0123456789abcdef",
  "operators": []
}`;

test("each of five faults in a document is reported with its line and pointer", () => {
  const checked = checkDocument("r.json", invalidSettings, validateSettings);
  assert.equal(checked.type, "err");
  const found = checked.error.map(
    ({ line, pointer, message }) => `${String(line)} ${pointer} ${message}`,
  );
  assert.deepEqual(found.sort(), [
    '2 /router key "region" is missing',
    '2 /router/regoin unknown key "regoin"; nearest known is "region"',
    "4 /listen/callers/port expected: must be <= 65535",
    "5 /listen/administration/port expected integer",
    '8 /keyValue/endpoints/0 expected: must match pattern "^https?://"',
  ]);
});

test("defaults are filled in for missing properties", () => {
  const text = invalidSettings
    .replace("regoin", "region")
    .replace("70000", "0")
    .replace('"8081"', "0")
    .replace("ftp", "http");
  const checked = checkDocument("r.json", text, validateSettings);
  assert.equal(checked.type, "ok");
  assert.equal(checked.value.ledger.shards, 8);
  assert.equal(checked.value.keyValue.prefix, "/cardamomglade/");
});

test("a syntax error is reported with its line", () => {
  const checked = checkDocument("r.json", '{\n  "a": ,\n}', validateSettings);
  assert.equal(checked.type, "err");
  assert.equal(checked.error[0]?.line, 2);
});
