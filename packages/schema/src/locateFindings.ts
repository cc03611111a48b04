/** Adds line and column to faults that are given by JSON pointer. */

import { parseTree } from "jsonc-parser";
import { nodeAt, positionsIn } from "./checkDocument.js";
import type { Finding } from "./findings.js";

/** Findings with the line and column of each pointer. */
export const locateFindings = (
  file: string,
  text: string,
  faults: readonly { readonly pointer: string; readonly message: string }[],
): Finding[] => {
  const tree = parseTree(text);
  const positionAt = positionsIn(text);
  return faults.map(({ pointer, message }) => {
    const offset = nodeAt(tree, pointer)?.offset ?? 0;
    return { file, ...positionAt(offset), pointer, message };
  });
};
