// Digests by which a start recognises its program and the code cache that was compiled from it.
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

const digestBytes = 32;
const footerStart = Buffer.from("\n//# sha256=");
const footerBytes = footerStart.length + 2 * digestBytes;

const sha256 = (...parts) => {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest();
};

/** Returns the program followed by a comment with its digest. */
export const sealProgram = (program) => {
  const digest = sha256(program).toString("hex");
  return Buffer.concat([program, footerStart, Buffer.from(digest)]);
};

/** Returns the digest of a sealed program, or undefined if any byte of it was changed. */
export const digestOfProgram = (sealed) => {
  const end = Math.max(0, sealed.length - footerBytes);
  const digest = sha256(sealed.subarray(0, end));
  const expected = Buffer.concat([
    footerStart,
    Buffer.from(digest.toString("hex")),
  ]);
  return sealed.subarray(end).equals(expected) ? digest : undefined;
};

/** Describes the runtime that a code cache belongs to; V8 itself compares less. */
export const describeRuntime = () =>
  JSON.stringify([
    process.version,
    process.versions.v8,
    process.platform,
    process.arch,
    process.execArgv,
  ]);

const digestOfCache = (cache, programDigest, runtime) =>
  sha256(programDigest, sha256(runtime), cache);

/** Returns the cache preceded by a digest of it, its program and its runtime. */
export const sealCache = (cache, programDigest, runtime = describeRuntime()) =>
  Buffer.concat([digestOfCache(cache, programDigest, runtime), cache]);

/** Returns the cache, or undefined if it was changed or belongs to another program or runtime. */
export const openCache = (
  sealed,
  programDigest,
  runtime = describeRuntime(),
) => {
  const cache = sealed.subarray(digestBytes);
  const digest = digestOfCache(cache, programDigest, runtime);
  return sealed.subarray(0, digestBytes).equals(digest) ? cache : undefined;
};
