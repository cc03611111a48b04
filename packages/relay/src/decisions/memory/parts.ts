/** Parts of the held bytes that are limited, and what counts in each. */

import { assertNever } from "@cardamomglade/common";
import { isLarge, sumOf, type CountedBytes } from "./countBytes.js";
import { Holder, type MemoryUse } from "./types.js";

/** A part of what is held. */
export enum Part {
  All,
  /** Large requests and answers, and what waits. */
  Bulk,
  Requests,
  WaitingRequests,
  WaitingAnswers,
  ArrivingAnswers,
  LargeArrivingAnswers,
  SmallUnreadAnswers,
}

/** Returns the bytes of a part. */
export const bytesIn = (
  part: Part,
  { heldBytes, largeBytes }: MemoryUse,
): number => {
  switch (part) {
    case Part.All:
      return sumOf(heldBytes);
    case Part.Bulk:
      return (
        heldBytes[Holder.WaitingRequest] +
        heldBytes[Holder.WaitingAnswer] +
        largeBytes[Holder.ReadingRequest] +
        largeBytes[Holder.KeptRequest] +
        largeBytes[Holder.ArrivingAnswer] +
        largeBytes[Holder.UnreadAnswer]
      );
    case Part.Requests:
      return heldBytes[Holder.ReadingRequest] + heldBytes[Holder.KeptRequest];
    case Part.WaitingRequests:
      return heldBytes[Holder.WaitingRequest];
    case Part.WaitingAnswers:
      return heldBytes[Holder.WaitingAnswer];
    case Part.ArrivingAnswers:
      return heldBytes[Holder.ArrivingAnswer];
    case Part.LargeArrivingAnswers:
      return largeBytes[Holder.ArrivingAnswer];
    case Part.SmallUnreadAnswers:
      return heldBytes[Holder.UnreadAnswer] - largeBytes[Holder.UnreadAnswer];
    default:
      return assertNever(part);
  }
};

/** Whether a holding counts in a part: only then does it help that part to give it up. */
export const countsIn = (
  part: Part,
  { holder, bytes }: CountedBytes,
): boolean => {
  switch (part) {
    case Part.All:
      return true;
    case Part.Bulk:
      return (
        holder === Holder.WaitingRequest ||
        holder === Holder.WaitingAnswer ||
        isLarge(bytes)
      );
    case Part.Requests:
      return holder === Holder.ReadingRequest || holder === Holder.KeptRequest;
    case Part.WaitingRequests:
      return holder === Holder.WaitingRequest;
    case Part.WaitingAnswers:
      return holder === Holder.WaitingAnswer;
    case Part.ArrivingAnswers:
      return holder === Holder.ArrivingAnswer;
    case Part.LargeArrivingAnswers:
      return holder === Holder.ArrivingAnswer && isLarge(bytes);
    case Part.SmallUnreadAnswers:
      return holder === Holder.UnreadAnswer && !isLarge(bytes);
    default:
      return assertNever(part);
  }
};
