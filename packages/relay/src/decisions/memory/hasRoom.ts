/** Decides whether more bytes may be held. */

import { afterChange, type CountedBytes } from "./countBytes.js";
import { limitsOf } from "./limits.js";
import { bytesIn, type Part } from "./parts.js";
import type { Holder, MemoryUse } from "./types.js";

/** Returns the parts that have more bytes than they may, for what a holding counts in them. */
export const exceededParts = (
  use: MemoryUse,
  counted: CountedBytes,
): readonly Part[] =>
  limitsOf(counted, use.maxBytes)
    .filter(({ part, maxBytes }) => bytesIn(part, use) > maxBytes)
    .map(({ part }) => part);

/** Whether a holder that will have some bytes may take those that it lacks. */
export const hasRoom = (
  use: MemoryUse,
  holder: Holder,
  bytes: number,
  addedBytes: number,
): boolean => {
  const counted = { holder, bytes };
  const before = { holder, bytes: bytes - addedBytes };
  return exceededParts(afterChange(use, before, counted), counted).length === 0;
};
