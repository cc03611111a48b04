/** Selects the streams to migrate from draining hosts. */

import type { Timestamp } from "@cardamomglade/common";

/** A stream on a draining host. */
export interface DrainingStream {
  readonly requestId: string;
  readonly tokensLeft: number;
  /** Time between tokens of its engine; undefined if not known. */
  readonly msPerToken: number | undefined;
}

/** Streams of one host at one check. */
export interface MigrationQuery {
  readonly at: Timestamp;
  /** Time by which the host must be empty; undefined if not known, and then every stream is migrated. */
  readonly emptyBy: Timestamp | undefined;
  readonly streams: readonly DrainingStream[];
  /** Time until the next check. */
  readonly drainCheckIntervalMs: number;
}

const migrationsPerSecond = 20;
// Migrations are finished this long before the deadline, so that a failed one can be retried.
const deadlineMarginMs = 3000;
const generationTimeFactor = 1.5;
const msPerSecond = 1000;

const outlivesDeadline = (
  { tokensLeft, msPerToken }: DrainingStream,
  leftMs: number,
): boolean =>
  msPerToken === undefined ||
  tokensLeft * msPerToken * generationTimeFactor > leftMs;

/**
 * Selects the streams to migrate at this check: those that would outlive the deadline,
 * longest first, at a steady rate or faster if the deadline requires it. Streams are
 * migrated as early as the rate allows, while their prefix is short and cheap to prefill.
 */
export const chooseStreamsToMigrate = ({
  at,
  emptyBy,
  streams,
  drainCheckIntervalMs,
}: MigrationQuery): string[] => {
  const leftMs = emptyBy === undefined ? 0 : emptyBy - deadlineMarginMs - at;
  const candidates = streams
    .filter((stream) => outlivesDeadline(stream, leftMs))
    .sort((a, b) => b.tokensLeft - a.tokensLeft);
  const steadyCount = Math.ceil(
    (migrationsPerSecond * drainCheckIntervalMs) / msPerSecond,
  );
  const checksLeft = Math.max(1, Math.floor(leftMs / drainCheckIntervalMs));
  const hasDeadline = emptyBy !== undefined;
  const requiredCount = hasDeadline
    ? Math.ceil(candidates.length / checksLeft)
    : 0;
  return candidates
    .slice(0, Math.max(steadyCount, requiredCount))
    .map(({ requestId }) => requestId);
};
