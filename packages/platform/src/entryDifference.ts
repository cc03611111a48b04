/** Difference between known entries and a list of all entries. */

import type { KeyValueEntry, RangeResult, WatchChange } from "./types.js";

const isSameEntry = (a: KeyValueEntry | undefined, b: KeyValueEntry): boolean =>
  a?.modRevision === b.modRevision &&
  a.createRevision === b.createRevision &&
  a.lease === b.lease &&
  a.value === b.value;

/**
 * The changes that turn known entries into the listed ones. Equal revisions prove
 * nothing, since a restored store gives them out again, so values are compared.
 */
export const entryDifference = (
  known: ReadonlyMap<string, KeyValueEntry>,
  { entries, revision }: RangeResult,
): WatchChange[] => {
  const listedKeys = new Set(entries.map(({ key }) => key));
  const deleted = [...known.keys()]
    .filter((key) => !listedKeys.has(key))
    .map((key) => ({ type: "delete" as const, key, modRevision: revision }));
  const put = entries
    .filter((entry) => !isSameEntry(known.get(entry.key), entry))
    .map((entry) => ({ type: "put" as const, entry }));
  return [...deleted, ...put];
};
