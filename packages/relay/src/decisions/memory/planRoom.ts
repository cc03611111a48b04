/**
 * Decides what gives way to a claim, and that nothing does in vain. Load pattern: large
 * bodies that find no room in their own part, beside callers that read their answers slowly.
 */

import type { Timestamp } from "@cardamomglade/common";
import { afterChange, type CountedBytes } from "./countBytes.js";
import { afterGivingWay, givingWayInOrder } from "./giveWay.js";
import { exceededParts } from "./hasRoom.js";
import type { HeldBytes, MemoryUse } from "./types.js";

/** A holding that needs room, among all others. */
export interface RoomNeed<T extends HeldBytes> {
  readonly all: Iterable<T>;
  readonly use: MemoryUse;
  readonly needing: T;
  /** Bytes that it will hold. */
  readonly bytes: number;
  readonly at: Timestamp;
}

const fits = (use: MemoryUse, counted: CountedBytes): boolean =>
  exceededParts(use, counted).length === 0;

/** Returns what has to give way, without the holding itself; undefined if that is not enough. */
export const planRoom = <T extends HeldBytes>({
  all,
  use,
  needing,
  bytes,
  at,
}: RoomNeed<T>): readonly T[] | undefined => {
  const counted = { holder: needing.holder, bytes };
  let rest = afterChange(use, needing, counted);
  if (fits(rest, counted)) return [];
  const inOrder = givingWayInOrder(all, needing, at);
  for (const held of inOrder)
    rest = afterChange(rest, held, afterGivingWay(held, at));
  if (!fits(rest, counted)) return undefined;
  const mayStay = (held: T): boolean => {
    const withIt = afterChange(rest, afterGivingWay(held, at), held);
    if (!fits(withIt, counted)) return false;
    rest = withIt;
    return true;
  };
  return inOrder.reverse().filter((held) => !mayStay(held));
};
