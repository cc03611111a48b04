/** Recent changes of the store's entries, kept for followers. */

import type { Timestamp } from "@cardamomglade/common";
import { entryDifference } from "../entryDifference.js";
import { isLater } from "../storePosition.js";
import type {
  KeyValueEntry,
  RangeResult,
  StorePosition,
  WatchChange,
  WatchedChanges,
} from "../types.js";
import {
  maxHistoryChangeCount,
  maxHistorySpanCount,
  maxSharedValueLength,
} from "./constants.js";
import type { SharedChange, SharedMessage } from "./types.js";

/** A change and the position at which a follower knows it. */
interface RecordedChange {
  readonly position: StorePosition;
  readonly change: SharedChange;
}

/** Revisions of one era of which this router saw each state. */
interface HistorySpan {
  readonly era: number;
  from: number;
  to: number;
}

/**
 * History of changes. A list adds what it shows otherwise than before, so that a
 * follower whose state this router had too goes on from there, also when the
 * store came back from a copy.
 */
export interface ChangeHistory {
  readonly entries: Map<string, KeyValueEntry>;
  position: StorePosition;
  /** Time at which the store confirmed the position. */
  confirmedAt: Timestamp;
  /** The oldest first; the changes lead from each state of them to the position. */
  spans: HistorySpan[];
  changes: RecordedChange[];
}

const positionOf = ({ era, revision }: StorePosition): StorePosition => ({
  era,
  revision,
});

const spanAt = ({ era, revision }: StorePosition): HistorySpan => ({
  era,
  from: revision,
  to: revision,
});

const revisionOf = (change: WatchChange): number =>
  change.type === "put" ? change.entry.modRevision : change.modRevision;

const withoutLongValue = (change: WatchChange): SharedChange =>
  change.type === "put" && change.entry.value.length > maxSharedValueLength
    ? {
        type: "putWithoutValue",
        key: change.entry.key,
        modRevision: change.entry.modRevision,
      }
    : change;

/** Creates the history of a router that has listed all entries. */
export const createHistory = (
  listed: RangeResult,
  confirmedAt: Timestamp,
): ChangeHistory => ({
  entries: new Map(listed.entries.map((entry) => [entry.key, entry])),
  position: positionOf(listed),
  confirmedAt,
  spans: [spanAt(listed)],
  changes: [],
});

const dropExcess = (history: ChangeHistory): void => {
  const excess = history.changes.length - maxHistoryChangeCount;
  const dropped =
    excess > 0 ? history.changes.splice(0, excess).at(-1) : undefined;
  history.spans.splice(0, history.spans.length - maxHistorySpanCount);
  if (dropped === undefined) return;
  const { era, revision } = dropped.position;
  history.spans = history.spans.filter(
    (span) => !isLater(dropped.position, { era: span.era, revision: span.to }),
  );
  const [oldest] = history.spans;
  if (oldest?.era === era) oldest.from = Math.max(oldest.from, revision);
};

const record = (
  { entries, changes }: ChangeHistory,
  position: StorePosition,
  change: WatchChange,
): void => {
  if (change.type === "put") entries.set(change.entry.key, change.entry);
  else entries.delete(change.key);
  changes.push({ position, change: withoutLongValue(change) });
};

/** Moves to a position that was reached over states which this router did not see. */
const skipTo = (
  history: ChangeHistory,
  position: StorePosition,
  changes: readonly WatchChange[],
): void => {
  history.position = positionOf(position);
  history.spans.push(spanAt(position));
  for (const change of changes) record(history, history.position, change);
  dropExcess(history);
};

/** Adds a list of all entries; an earlier position starts the history anew. */
export const recordList = (
  history: ChangeHistory,
  listed: RangeResult,
  confirmedAt: Timestamp,
): ChangeHistory => {
  if (isLater(history.position, listed))
    return createHistory(listed, confirmedAt);
  history.confirmedAt = Math.max(history.confirmedAt, confirmedAt);
  if (isLater(listed, history.position))
    skipTo(history, listed, entryDifference(history.entries, listed));
  return history;
};

/** Adds the changes of a watch; ignores those already known, so that the position never falls. */
export const recordChanges = (
  history: ChangeHistory,
  event: WatchedChanges,
  confirmedAt: Timestamp,
): void => {
  history.confirmedAt = Math.max(history.confirmedAt, confirmedAt);
  if (!isLater(event, history.position)) return;
  const { era, revision, changes } = event;
  if (era !== history.position.era) {
    skipTo(history, event, changes);
    return;
  }
  for (const change of changes) {
    const changedAt = { era, revision: revisionOf(change) };
    if (isLater(changedAt, history.position))
      record(history, changedAt, change);
  }
  history.position = { era, revision };
  const span = history.spans.at(-1);
  if (span !== undefined) span.to = revision;
  dropExcess(history);
};

const isCovered = (
  { position, spans }: ChangeHistory,
  { era, revision }: StorePosition,
): boolean =>
  (era === position.era && revision > position.revision) ||
  spans.some(
    (span) => span.era === era && span.from <= revision && revision <= span.to,
  );

const keyOf = (change: SharedChange): string =>
  change.type === "put" ? change.entry.key : change.key;

/**
 * The last change of each key, in order. Load pattern: many versions of the configuration
 * within one heartbeat; each of them would take its time on the link of the router.
 */
const withoutSuperseded = (
  changes: readonly SharedChange[],
): readonly SharedChange[] => {
  const lastByKey = new Map(changes.map((one) => [keyOf(one), one]));
  return changes.filter((one) => lastByKey.get(keyOf(one)) === one);
};

/** The message for a follower that knows all changes up to a position. */
export const messageSince = (
  history: ChangeHistory,
  after: StorePosition,
  at: Timestamp,
): SharedMessage => {
  const { position, confirmedAt, changes } = history;
  if (after.era > position.era) return { type: "behind" };
  if (!isCovered(history, after)) return { type: "compacted" };
  return {
    type: "changes",
    ...(isLater(after, position) ? positionOf(after) : position),
    ageMs: Math.max(0, Math.round(at - confirmedAt)),
    changes: withoutSuperseded(
      changes
        .filter((one) => isLater(one.position, after))
        .map(({ change }) => change),
    ),
  };
};
