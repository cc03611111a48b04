/** Non-cryptographic hashing (xxHash) and rendezvous hashing. */

import { xxHash32 } from "js-xxhash";

/** 32-bit hash of a text. */
export const hash32 = (text: string, seed = 0): number => xxHash32(text, seed);

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
