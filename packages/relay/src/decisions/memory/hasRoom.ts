/** Decides whether more bytes may be held. Large requests leave room for answers and for small requests. */

import { assertNever } from "@cardamomglade/common";
import { fillLimits, maxArrivingBytes, maxSmallBytes } from "./constants.js";
import { Holder, type MemoryUse } from "./types.js";

/** Bytes that are held for everything together. */
export const totalBytes = ({ heldBytes }: MemoryUse): number =>
  heldBytes[Holder.WaitingRequest] +
  heldBytes[Holder.ReadingRequest] +
  heldBytes[Holder.KeptRequest] +
  heldBytes[Holder.WaitingAnswer] +
  heldBytes[Holder.ArrivingAnswer] +
  heldBytes[Holder.UnreadAnswer];

const requestBytes = ({ heldBytes }: MemoryUse): number =>
  heldBytes[Holder.ReadingRequest] + heldBytes[Holder.KeptRequest];

const hasWaitingRoom = (
  use: MemoryUse,
  holder: Holder,
  addedBytes: number,
  alone: number,
): boolean => {
  const { maxBytes, heldBytes } = use;
  return (
    heldBytes[holder] + addedBytes <= alone * maxBytes &&
    totalBytes(use) + addedBytes <= fillLimits.waiting * maxBytes
  );
};

const hasRequestRoom = (
  use: MemoryUse,
  addedBytes: number,
  isSmall: boolean,
): boolean => {
  const { maxBytes } = use;
  const bytes = totalBytes(use) + addedBytes;
  if (isSmall) return bytes <= fillLimits.smallRequest * maxBytes;
  return (
    bytes <= fillLimits.largeRequest * maxBytes &&
    requestBytes(use) + addedBytes <= fillLimits.largeRequestsAlone * maxBytes
  );
};

const hasAnswerRoom = (
  use: MemoryUse,
  addedBytes: number,
  isSmall: boolean,
): boolean => {
  const fill = isSmall ? fillLimits.smallAnswer : fillLimits.largeAnswer;
  return totalBytes(use) + addedBytes <= fill * use.maxBytes;
};

/** Whether a holder that will have some bytes may take those that it lacks. */
export const hasRoom = (
  use: MemoryUse,
  holder: Holder,
  bytes: number,
  addedBytes: number,
): boolean => {
  const isSmall = bytes <= maxSmallBytes;
  switch (holder) {
    case Holder.WaitingRequest:
      return hasWaitingRoom(
        use,
        holder,
        addedBytes,
        fillLimits.waitingRequestsAlone,
      );
    case Holder.WaitingAnswer:
      return hasWaitingRoom(
        use,
        holder,
        addedBytes,
        fillLimits.waitingAnswersAlone,
      );
    case Holder.ReadingRequest:
    case Holder.KeptRequest:
      return hasRequestRoom(use, addedBytes, isSmall);
    case Holder.ArrivingAnswer: {
      const arriving = use.heldBytes[Holder.ArrivingAnswer] + addedBytes;
      return (
        arriving <= maxArrivingBytes && hasAnswerRoom(use, addedBytes, isSmall)
      );
    }
    case Holder.UnreadAnswer:
      return hasAnswerRoom(use, addedBytes, false);
    default:
      return assertNever(holder);
  }
};
