/** Generates pseudo-random tokens from a digest of the preceding tokens. */

import { hash32 } from "@cardamomglade/common";
import type { EngineToken } from "@cardamomglade/schema";

const contractWords =
  "the supplier delivers tulips carnations at dawn price per crate season clause deposit rental trolley notice term days market stall grade stem bundle pays within net discount".split(
    " ",
  );
const captionWords =
  "caption photo page class row left right teacher pupil name spelling year school house team captain music sport verified check note correct print margin cover".split(
    " ",
  );

const emptyTokenId = 1;
const splitHeadId = 2;
const splitTailId = 3;
const firstWordId = 10;
const splitHeadByte = 0xc3;
const splitTailByte = 0xa7;
const kindCount = 40;

/** Extends the digest of a token sequence by one token id. */
export const extendDigest = (digest: number, id: number): number =>
  (Math.imul(digest ^ id, 0x01000193) ^ (digest >>> 13)) >>> 0;

/** Digest of the request, before the first token. */
export const seedDigest = (
  model: string,
  version: string,
  adapter: string,
  prompt: string,
): number => hash32(`${model}\n${version}\n${adapter}\n${prompt}`);

/** Token with the given id. */
export const tokenById = (id: number): EngineToken => {
  if (id === splitHeadId) return { id, text: "", bytes: [splitHeadByte] };
  if (id === splitTailId) return { id, text: "", bytes: [splitTailByte] };
  if (id < firstWordId) return { id, text: "" };
  const word = [...contractWords, ...captionWords][id - firstWordId] ?? "";
  return { id, text: ` ${word}` };
};

/** Next token for a digest. The first byte of a split character is always followed by its second byte. */
export const makeToken = (
  digest: number,
  nonce: number,
  lastId: number,
): EngineToken => {
  if (lastId === splitHeadId)
    return { id: splitTailId, text: "", bytes: [splitTailByte] };
  const hash = extendDigest(extendDigest(digest, nonce), 0x9e3779b9);
  const kind = (hash >>> 7) % kindCount;
  if (kind === 0) return { id: emptyTokenId, text: "" };
  if (kind === 1) return { id: splitHeadId, text: "", bytes: [splitHeadByte] };
  const words = kind % 2 === 0 ? contractWords : captionWords;
  const index = (hash >>> 3) % words.length;
  const offset = kind % 2 === 0 ? 0 : contractWords.length;
  return { id: firstWordId + offset + index, text: ` ${words[index] ?? ""}` };
};
