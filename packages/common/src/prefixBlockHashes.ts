/** Chained hashes of a prompt's prefix blocks, as engines publish them in KV cache events. */

import { hash64 } from "./hash64.js";

const charsPerBlock = 256;

/** Hashes of the first blocks of a prompt; each hash covers the block and all text before it. */
export const prefixBlockHashes = (
  model: string,
  prompt: string,
  maxBlockCount = Infinity,
): string[] => {
  const blocks: string[] = [];
  let chainedHash = model;
  for (let start = 0; start < prompt.length; start += charsPerBlock) {
    if (blocks.length >= maxBlockCount) break;
    chainedHash = hash64(
      `${chainedHash}\n${prompt.slice(start, start + charsPerBlock)}`,
    );
    blocks.push(chainedHash);
  }
  return blocks;
};
