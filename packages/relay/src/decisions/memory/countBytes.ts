/** Counts the bytes that are held. */

import { maxSmallBytes } from "./constants.js";
import { Holder, type BytesByHolder, type MemoryUse } from "./types.js";

/** What one holding counts. */
export interface CountedBytes {
  readonly holder: Holder;
  readonly bytes: number;
}

/** Counts of nothing. */
export const noBytes: BytesByHolder = {
  [Holder.WaitingRequest]: 0,
  [Holder.ReadingRequest]: 0,
  [Holder.KeptRequest]: 0,
  [Holder.WaitingAnswer]: 0,
  [Holder.ArrivingAnswer]: 0,
  [Holder.UnreadAnswer]: 0,
};

/** Use of a budget that holds nothing. */
export const emptyUseOf = (maxBytes: number): MemoryUse => ({
  maxBytes,
  heldBytes: noBytes,
  largeBytes: noBytes,
});

/** Whether so many bytes count as those of a large request or answer. */
export const isLarge = (bytes: number): boolean => bytes > maxSmallBytes;

const add = (
  counts: BytesByHolder,
  holder: Holder,
  bytes: number,
): BytesByHolder => ({ ...counts, [holder]: counts[holder] + bytes });

const addCounted = (
  use: MemoryUse,
  { holder, bytes }: CountedBytes,
  sign: 1 | -1,
): MemoryUse => ({
  ...use,
  heldBytes: add(use.heldBytes, holder, sign * bytes),
  largeBytes: isLarge(bytes)
    ? add(use.largeBytes, holder, sign * bytes)
    : use.largeBytes,
});

/** Returns the use once a holding counts something else. */
export const afterChange = (
  use: MemoryUse,
  before: CountedBytes,
  after: CountedBytes,
): MemoryUse => addCounted(addCounted(use, before, -1), after, 1);

/** Bytes that are held for everything together. */
export const totalBytes = ({ heldBytes }: MemoryUse): number =>
  sumOf(heldBytes);

/** Sum of all counts. */
export const sumOf = (counts: BytesByHolder): number =>
  counts[Holder.WaitingRequest] +
  counts[Holder.ReadingRequest] +
  counts[Holder.KeptRequest] +
  counts[Holder.WaitingAnswer] +
  counts[Holder.ArrivingAnswer] +
  counts[Holder.UnreadAnswer];
