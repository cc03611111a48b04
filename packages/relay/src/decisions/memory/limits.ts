/**
 * Limits that bytes have to keep when more are taken. Load patterns: large requests or
 * answers that take all they may leave room for small ones; small requests that take all
 * they may leave room for answers, and for streams whose callers read them.
 */

import { assertNever } from "@cardamomglade/common";
import {
  fillLimits,
  maxArrivingBytes,
  maxLargeArrivingBytes,
} from "./constants.js";
import { isLarge, type CountedBytes } from "./countBytes.js";
import { Part } from "./parts.js";
import { Holder } from "./types.js";

/** A part of what is held, and how many bytes it may have. */
export interface Limit {
  readonly part: Part;
  readonly maxBytes: number;
}

const waitingLimits = (
  part: Part,
  alone: number,
  maxBytes: number,
): readonly Limit[] => [
  { part, maxBytes: alone * maxBytes },
  { part: Part.All, maxBytes: fillLimits.waiting * maxBytes },
];

const requestLimits = (
  maxBytes: number,
  isLargeOne: boolean,
): readonly Limit[] => {
  const alone = isLargeOne
    ? fillLimits.largeRequestsAlone
    : fillLimits.smallRequestsAlone;
  const all = isLargeOne ? fillLimits.largeRequest : fillLimits.smallRequest;
  return [
    { part: Part.Requests, maxBytes: alone * maxBytes },
    { part: Part.All, maxBytes: all * maxBytes },
  ];
};

const bulkLimit = (maxBytes: number): Limit => ({
  part: Part.Bulk,
  maxBytes: fillLimits.bulkBesideLargeAnswer * maxBytes,
});

const arrivingLimits = (
  maxBytes: number,
  isLargeOne: boolean,
): readonly Limit[] => {
  const arriving = { part: Part.ArrivingAnswers, maxBytes: maxArrivingBytes };
  if (!isLargeOne)
    return [
      arriving,
      { part: Part.All, maxBytes: fillLimits.smallAnswer * maxBytes },
    ];
  return [
    arriving,
    { part: Part.LargeArrivingAnswers, maxBytes: maxLargeArrivingBytes },
    bulkLimit(maxBytes),
    { part: Part.All, maxBytes: fillLimits.largeAnswer * maxBytes },
  ];
};

const unreadLimits = (
  maxBytes: number,
  isLargeOne: boolean,
): readonly Limit[] => [
  isLargeOne
    ? bulkLimit(maxBytes)
    : {
        part: Part.SmallUnreadAnswers,
        maxBytes: fillLimits.smallUnreadAlone * maxBytes,
      },
  { part: Part.All, maxBytes: fillLimits.unreadAnswer * maxBytes },
];

/** Returns the limits for a holding that takes more, in a budget of a size. */
export const limitsOf = (
  { holder, bytes }: CountedBytes,
  maxBytes: number,
): readonly Limit[] => {
  switch (holder) {
    case Holder.WaitingRequest:
      return waitingLimits(
        Part.WaitingRequests,
        fillLimits.waitingRequestsAlone,
        maxBytes,
      );
    case Holder.WaitingAnswer:
      return waitingLimits(
        Part.WaitingAnswers,
        fillLimits.waitingAnswersAlone,
        maxBytes,
      );
    case Holder.ReadingRequest:
    case Holder.KeptRequest:
      return requestLimits(maxBytes, isLarge(bytes));
    case Holder.ArrivingAnswer:
      return arrivingLimits(maxBytes, isLarge(bytes));
    case Holder.UnreadAnswer:
      return unreadLimits(maxBytes, isLarge(bytes));
    default:
      return assertNever(holder);
  }
};
