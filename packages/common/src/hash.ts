/** Non-cryptographic hashing (xxHash) and rendezvous hashing. */

import xxhash from "xxhash-wasm";

const xxhashApi = await xxhash();

/** 32-bit hash of a text. */
export const hash32 = (text: string, seed = 0): number =>
  xxhashApi.h32(text, seed);

/** 64-bit hash of a text, in hex. */
export const hash64 = (text: string): string => xxhashApi.h64ToString(text);

/** Sorts candidates by their rendezvous hash for a key, highest first; ties are broken by name. */
export const rendezvousOrder = (
  key: string,
  candidates: readonly string[],
): string[] => {
  const scored = candidates.map((name) => ({
    name,
    score: hash32(`${key}\n${name}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
};
