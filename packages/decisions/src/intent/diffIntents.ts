/** Compares two intents. */

import { canonicalJson } from "@cardamomglade/common";
import type { Difference, Intent } from "@cardamomglade/schema";

interface KeyedItem {
  readonly key: string;
  readonly text: string;
}

const keyOf = (item: { name?: string; host?: string }): string =>
  item.name ?? item.host ?? "";

const keyedItemsOf = (
  list: readonly { name?: string; host?: string }[],
): KeyedItem[] =>
  list.map((item) => ({ key: keyOf(item), text: canonicalJson(item) }));

const diffLists = (
  part: string,
  before: readonly KeyedItem[],
  after: readonly KeyedItem[],
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

const listNames = [
  "customers",
  "models",
  "backEnds",
  "deployments",
  "services",
  "leaving",
] as const;

/** Added, removed and changed items, by name; empty where the intents are equivalent. */
export const diffIntents = (before: Intent, after: Intent): Difference[] =>
  listNames.flatMap((part) =>
    diffLists(part, keyedItemsOf(before[part]), keyedItemsOf(after[part])),
  );
