/** Fast non-cryptographic hashing and rendezvous choice. */

import xxhash from "xxhash-wasm";

const api = await xxhash();

/** 32-bit hash of a text. */
export const hash32 = (text: string, seed = 0): number => api.h32(text, seed);

/** 64-bit hash of a text, in hex. */
export const hash64 = (text: string): string => api.h64ToString(text);

/** Orders candidates by rendezvous hash of a key, best first. */
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
