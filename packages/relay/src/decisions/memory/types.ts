/** Types for the memory that requests and answers take in one process. */

import type { Timestamp } from "@cardamomglade/common";

/** What bytes are held for. */
export enum Holder {
  /** A request whose large body waits for room. */
  WaitingRequest = "waitingRequest",
  /** A request that is being read. */
  ReadingRequest = "readingRequest",
  /** A request that was read whole, and is kept for its attempts. */
  KeptRequest = "keptRequest",
  /** A large answer that waits for room; its replica cannot go on sending. */
  WaitingAnswer = "waitingAnswer",
  /** An answer that arrives from a replica. */
  ArrivingAnswer = "arrivingAnswer",
  /** An answer, or events of a stream, that the caller has not read yet. */
  UnreadAnswer = "unreadAnswer",
}

/** Bytes that are held for one request or answer. */
export interface HeldBytes {
  readonly holder: Holder;
  readonly bytes: number;
  /** Bytes among them that are kept free for what has not arrived yet. */
  readonly reservedBytes: number;
  /** Whether the sender named the length. */
  readonly isSized: boolean;
  /** Time by which its other side has to send or read more, to not count as stalled. */
  readonly progressBy: Timestamp;
}

/** Bytes by what they are held for. */
export type BytesByHolder = Readonly<Record<Holder, number>>;

/** Bytes that are held in a process, by what they are held for, and how many may be. */
export interface MemoryUse {
  readonly maxBytes: number;
  readonly heldBytes: BytesByHolder;
  /** Bytes among them of large requests and answers. */
  readonly largeBytes: BytesByHolder;
}
