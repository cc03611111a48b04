/** Places of faults that are known by their JSON pointer. */

import { parseTree } from "jsonc-parser";
import { nodeAt, placeOf } from "./checkDocument.js";
import type { Finding } from "./findings.js";

/** Findings with line and column of what each pointer names. */
export const locateFindings = (
  file: string,
  text: string,
  faults: readonly { readonly pointer: string; readonly message: string }[],
): Finding[] => {
  const tree = parseTree(text);
  return faults.map(({ pointer, message }) => {
    const offset = nodeAt(tree, pointer)?.offset ?? 0;
    return { file, ...placeOf(text, offset), pointer, message };
  });
};
