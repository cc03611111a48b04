/** What differs between two intents. */

import { canonicalText } from "@cardamomglade/common";
import type { Difference, Intent } from "@cardamomglade/schema";

interface Keyed {
  readonly key: string;
  readonly text: string;
}

const keyOf = (item: { name?: string; host?: string }): string =>
  item.name ?? item.host ?? "";

const entriesOf = (
  list: readonly { name?: string; host?: string }[],
): Keyed[] =>
  list.map((item) => ({ key: keyOf(item), text: canonicalText(item) }));

const diffLists = (
  part: string,
  before: readonly Keyed[],
  after: readonly Keyed[],
): Difference[] => {
  const old = new Map(before.map(({ key, text }) => [key, text]));
  const fresh = new Map(after.map(({ key, text }) => [key, text]));
  const pointerOf = (key: string) => `/${part}/${key}`;
  const removed = [...old.keys()]
    .filter((key) => !fresh.has(key))
    .map((key) => ({ type: "removed" as const, pointer: pointerOf(key) }));
  const others = [...fresh].flatMap(([key, text]): Difference[] => {
    if (!old.has(key)) return [{ type: "added", pointer: pointerOf(key) }];
    return old.get(key) === text
      ? []
      : [{ type: "changed", pointer: pointerOf(key) }];
  });
  return [...removed, ...others];
};

const parts = [
  "customers",
  "models",
  "backEnds",
  "deployments",
  "services",
  "leaving",
] as const;

/** Added, removed and changed parts, by name; empty where the intents mean the same. */
export const diffIntents = (before: Intent, after: Intent): Difference[] =>
  parts.flatMap((part) =>
    diffLists(part, entriesOf(before[part]), entriesOf(after[part])),
  );
