import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fc from "fast-check";
import {
  describeRuntime,
  digestOfProgram,
  openCache,
  sealCache,
  sealProgram,
} from "../deploy/codeCache.mjs";

const program = sealProgram(Buffer.from("exports.run = () => 1;"));
const digest = digestOfProgram(program);
const cache = Buffer.from(
  Array.from({ length: 300 }, (_, index) => index % 251),
);
const sealed = sealCache(cache, digest);

const damages = (length) =>
  fc.record({
    at: fc.nat({ max: length - 1 }),
    mask: fc.integer({ min: 1, max: 255 }),
  });

const damage = (bytes, { at, mask }) => {
  const damaged = Buffer.from(bytes);
  damaged[at] ^= mask;
  return damaged;
};

test("an undamaged program and cache are recognised", () => {
  assert.equal(digest.length, 32);
  assert.deepEqual(openCache(sealed, digest), cache);
});

test("a changed byte of the code cache is recognised", () => {
  fc.assert(
    fc.property(damages(sealed.length), (change) => {
      assert.equal(openCache(damage(sealed, change), digest), undefined);
    }),
  );
});

test("a changed byte of the program is recognised", () => {
  fc.assert(
    fc.property(damages(program.length), (change) => {
      assert.equal(digestOfProgram(damage(program, change)), undefined);
    }),
  );
});

test("a program or cache that is cut short or continued is recognised", () => {
  fc.assert(
    fc.property(
      fc.nat({ max: sealed.length - 1 }),
      fc.nat({ max: program.length - 1 }),
      fc.uint8Array({ minLength: 1 }),
      (cacheEnd, programEnd, more) => {
        assert.equal(
          openCache(sealed.subarray(0, cacheEnd), digest),
          undefined,
        );
        assert.equal(
          digestOfProgram(program.subarray(0, programEnd)),
          undefined,
        );
        assert.equal(
          openCache(Buffer.concat([sealed, more]), digest),
          undefined,
        );
        assert.equal(
          digestOfProgram(Buffer.concat([program, more])),
          undefined,
        );
      },
    ),
  );
});

test("the cache of another program of the same length is recognised", () => {
  const other = digestOfProgram(
    sealProgram(Buffer.from("exports.run = () => 2;")),
  );
  assert.equal(openCache(sealed, other), undefined);
});

test("the cache of another runtime is recognised", () => {
  for (const part of [process.version, process.versions.v8, process.arch]) {
    const runtime = describeRuntime().replace(part, `${part}-other`);
    const fromElsewhere = sealCache(cache, digest, runtime);
    assert.notEqual(runtime, describeRuntime());
    assert.equal(openCache(fromElsewhere, digest), undefined);
  }
});
