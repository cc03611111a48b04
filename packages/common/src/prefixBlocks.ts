/** Hash chain of a prompt's prefix blocks, as engines publish it in cache events. */

import { hash64 } from "./hash.js";

const blockChars = 256;

/** Hashes of a prompt's first blocks; each covers all text before it. */
export const prefixBlocks = (
  model: string,
  prompt: string,
  most = Infinity,
): string[] => {
  const blocks: string[] = [];
  let chained = model;
  for (let at = 0; at < prompt.length; at += blockChars) {
    if (blocks.length >= most) break;
    chained = hash64(`${chained}\n${prompt.slice(at, at + blockChars)}`);
    blocks.push(chained);
  }
  return blocks;
};
