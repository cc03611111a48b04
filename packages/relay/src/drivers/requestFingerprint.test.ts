import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestFingerprint, type RequestHead } from "./requestFingerprint.js";

const head: RequestHead = {
  method: "POST",
  hostname: "host.example",
  target: "/check/x?page=1",
  key: "key-1",
};

const digestOf = (changes: Partial<RequestHead>, ...chunks: string[]) => {
  const fingerprint = RequestFingerprint.create({ ...head, ...changes });
  for (const chunk of chunks) fingerprint.add(Buffer.from(chunk));
  return fingerprint.digest();
};

test("a repeat whose body arrives in other parts is taken for another request", () => {
  assert.equal(digestOf({}, "abc", "def"), digestOf({}, "a", "bcde", "f"));
  assert.match(digestOf({}), /^[\da-f]{16}$/);
});

test("requests that differ in one property are taken for the same", () => {
  const others = [
    digestOf({}, "abd"),
    digestOf({}, "ab"),
    digestOf({ method: "PUT" }, "abc"),
    digestOf({ hostname: "other.example" }, "abc"),
    digestOf({ target: "/check/x?page=2" }, "abc"),
    digestOf({ key: "key-2" }, "abc"),
    digestOf({ key: undefined }, "abc"),
  ];
  assert.equal(new Set([digestOf({}, "abc"), ...others]).size, 8);
});
