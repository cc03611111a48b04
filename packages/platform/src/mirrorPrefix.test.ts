import assert from "node:assert/strict";
import { test } from "node:test";
import { mirrorPrefix } from "./mirrorPrefix.js";
import type {
  KeyValue,
  KeyValueEntry,
  RangeResult,
  WatchEvent,
} from "./types.js";

const failure = { type: "connection" as const, message: "cut" };

const entry = (key: string, revision: number): KeyValueEntry => ({
  key,
  value: key,
  createRevision: revision,
  modRevision: revision,
  lease: "0",
});

// Returns a preset list and exposes the callback of the latest watch.
class FakeKeyValue {
  listed: RangeResult = { revision: 1, entries: [] };
  listCount = 0;
  readonly watchedFrom: number[] = [];
  report: (event: WatchEvent) => void = () => undefined;

  readonly client = {
    range: () => {
      this.listCount += 1;
      return Promise.resolve({ type: "done", value: this.listed } as const);
    },
    watch: (
      _key: string,
      { fromRevision }: { readonly fromRevision: number },
      onEvent: (event: WatchEvent) => void,
    ) => {
      this.watchedFrom.push(fromRevision);
      this.report = onEvent;
      return { close: () => undefined };
    },
  } as unknown as KeyValue;
}

const options = { prefix: "p/", callTimeoutMs: 1000, resyncMs: 60_000 };

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5));
};

const start = async () => {
  const fake = new FakeKeyValue();
  const reportedKeys: string[][] = [];
  const mirror = mirrorPrefix(fake.client, options, (entries) => {
    reportedKeys.push(entries.map(({ key }) => key));
  });
  await waitUntil(() => fake.watchedFrom.length === 1);
  return { fake, reportedKeys, mirror };
};

test("a lost watch resumes after the last received change", async () => {
  const { fake, reportedKeys, mirror } = await start();
  const changes = [{ type: "put" as const, entry: entry("p/a", 5) }];
  fake.report({ type: "changes", revision: 5, changes });
  fake.report({ type: "lost", failure });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.deepEqual(fake.watchedFrom, [2, 6]);
  assert.equal(fake.listCount, 1);
  assert.deepEqual(reportedKeys.at(-1), ["p/a"]);
  mirror.close();
});

test("a compacted watch lists again and removes entries that no longer exist", async () => {
  const { fake, reportedKeys, mirror } = await start();
  const changes = [{ type: "put" as const, entry: entry("p/a", 5) }];
  fake.report({ type: "changes", revision: 5, changes });
  fake.listed = { revision: 9, entries: [entry("p/b", 8)] };
  fake.report({ type: "compacted", compactRevision: 7 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.deepEqual(fake.watchedFrom, [2, 10]);
  assert.deepEqual(reportedKeys.at(-1), ["p/b"]);
  mirror.close();
});
