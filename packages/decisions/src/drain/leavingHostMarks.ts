/** Hosts that the platform's host list marks as leaving. */

import type { Timestamp } from "@cardamomglade/common";
import { HostStatus, type ListedHost } from "@cardamomglade/schema";

/** Mark of a leaving host; kept for some time after the host was last listed as leaving. */
export interface LeavingHostMark {
  readonly keptUntil: Timestamp;
  /** Time by which the host must be empty; undefined if the list gives none. */
  readonly emptyBy: Timestamp | undefined;
}

/** Marks by host. */
export type LeavingHostMarks = ReadonlyMap<string, LeavingHostMark>;

const markTtlMs = 60_000;

const parseTimestamp = (text: string | undefined): Timestamp | undefined => {
  const timestamp = Date.parse(text ?? "");
  return Number.isNaN(timestamp) ? undefined : timestamp;
};

/**
 * Applies one reading of the host list. Marks outlast short changes of the list, so a
 * list that flaps does not end a drain. A host missing from the list is not marked.
 * Hosts that the intent marks as leaving are not handled here.
 */
export const updateLeavingHostMarks = (
  marks: LeavingHostMarks,
  hosts: readonly ListedHost[],
  at: Timestamp,
): LeavingHostMarks => {
  const kept = [...marks].filter(([, { keptUntil }]) => at < keptUntil);
  const listed = hosts
    .filter(({ status }) => status === HostStatus.Leaving)
    .map(({ host, emptyBy }): [string, LeavingHostMark] => [
      host,
      { keptUntil: at + markTtlMs, emptyBy: parseTimestamp(emptyBy) },
    ]);
  return new Map([...kept, ...listed]);
};
