/** Recent changes of the store's entries, kept for followers. */

import type { Timestamp } from "@cardamomglade/common";
import type { WatchChange, WatchEvent } from "../types.js";
import { maxHistoryChangeCount, maxSharedValueLength } from "./constants.js";
import type { SharedChange, SharedMessage } from "./types.js";

const revisionOf = (change: SharedChange): number =>
  change.type === "put" ? change.entry.modRevision : change.modRevision;

const withoutLongValue = (change: WatchChange): SharedChange =>
  change.type === "put" && change.entry.value.length > maxSharedValueLength
    ? {
        type: "putWithoutValue",
        key: change.entry.key,
        modRevision: change.entry.modRevision,
      }
    : change;

/** History of changes; complete after `oldestRevision` up to `revision`. */
export interface ChangeHistory {
  oldestRevision: number;
  revision: number;
  /** Time at which the store confirmed the latest revision. */
  confirmedAt: Timestamp;
  changes: SharedChange[];
}

/** Creates the history of a router that has listed all entries at a revision. */
export const createHistory = (
  revision: number,
  confirmedAt: Timestamp,
): ChangeHistory => ({
  oldestRevision: revision,
  revision,
  confirmedAt,
  changes: [],
});

/** Adds the changes of a watch; ignores those already known, so that the revision never falls. */
export const recordChanges = (
  history: ChangeHistory,
  { revision, changes }: Extract<WatchEvent, { readonly type: "changes" }>,
  confirmedAt: Timestamp,
): void => {
  history.confirmedAt = Math.max(history.confirmedAt, confirmedAt);
  if (revision <= history.revision) return;
  for (const change of changes)
    if (revisionOf(change) > history.revision)
      history.changes.push(withoutLongValue(change));
  history.revision = revision;
  const excess = history.changes.length - maxHistoryChangeCount;
  if (excess <= 0) return;
  const last = history.changes.splice(0, excess).at(-1);
  if (last !== undefined) history.oldestRevision = revisionOf(last);
};

/** The message for a follower that knows all changes up to a revision. */
export const messageSince = (
  history: ChangeHistory,
  after: number,
  at: Timestamp,
): SharedMessage => {
  if (after < history.oldestRevision) return { type: "compacted" };
  return {
    type: "changes",
    revision: Math.max(after, history.revision),
    ageMs: Math.max(0, Math.round(at - history.confirmedAt)),
    changes: history.changes.filter((change) => revisionOf(change) > after),
  };
};
