/** Which streams move now from hosts that are leaving. */

import type { Moment } from "@cardamomglade/common";

/** A stream on a leaving host. */
export interface LeavingStream {
  readonly requestId: string;
  readonly tokensLeft: number;
  /** Undefined where its engine's pace is not known. */
  readonly msPerToken: number | undefined;
}

/** One host's streams, at one look. */
export interface MoveQuery {
  readonly at: Moment;
  /** Undefined where no moment is known; then every stream moves. */
  readonly emptyBy: Moment | undefined;
  readonly streams: readonly LeavingStream[];
  /** Time until the next look. */
  readonly lookEveryMs: number;
}

const movesPerSecond = 20;
// Moves are over this long before the moment, so that a failed one can be made again.
const marginMs = 3000;
const paceFactor = 1.5;
const msPerSecond = 1000;

const outlives = (
  { tokensLeft, msPerToken }: LeavingStream,
  leftMs: number,
): boolean =>
  msPerToken === undefined || tokensLeft * msPerToken * paceFactor > leftMs;

/**
 * The streams to move at this look: those that would outlive the moment, the
 * longest first, at a steady pace or as fast as the moment asks. A stream moves
 * as early as the pace allows, while its prefix is short.
 */
export const chooseMoves = ({
  at,
  emptyBy,
  streams,
  lookEveryMs,
}: MoveQuery): string[] => {
  const leftMs = emptyBy === undefined ? 0 : emptyBy - marginMs - at;
  const moving = streams
    .filter((stream) => outlives(stream, leftMs))
    .sort((a, b) => b.tokensLeft - a.tokensLeft);
  const steady = Math.ceil((movesPerSecond * lookEveryMs) / msPerSecond);
  const looksLeft = Math.max(1, Math.floor(leftMs / lookEveryMs));
  const isTimed = emptyBy !== undefined;
  const needed = isTimed ? Math.ceil(moving.length / looksLeft) : 0;
  return moving
    .slice(0, Math.max(steady, needed))
    .map(({ requestId }) => requestId);
};
