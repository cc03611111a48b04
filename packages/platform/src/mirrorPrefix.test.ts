import assert from "node:assert/strict";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { mirrorPrefix, type Restoration } from "./mirrorPrefix.js";
import type {
  KeyValue,
  KeyValueEntry,
  RangeResult,
  WatchEvent,
  WatchOptions,
} from "./types.js";

const failure = { type: "connection" as const, message: "cut" };

const entry = (key: string, revision: number): KeyValueEntry => ({
  key,
  value: key,
  createRevision: revision,
  modRevision: revision,
  lease: "0",
});

// Returns preset lists and exposes the callback of the latest watch.
class FakeKeyValue {
  listed: RangeResult = { era: 1, revision: 1, entries: [] };
  /** Returned once each, before `listed`. */
  readonly listedFirst: RangeResult[] = [];
  listCount = 0;
  readonly watchedFrom: number[] = [];
  report: (event: WatchEvent) => void = () => undefined;

  readonly client = {
    range: () => {
      this.listCount += 1;
      const value = this.listedFirst.shift() ?? this.listed;
      return Promise.resolve({ type: "done", value } as const);
    },
    watch: (
      _key: string,
      { after }: WatchOptions,
      onEvent: (event: WatchEvent) => void,
    ) => {
      this.watchedFrom.push(after.revision + 1);
      this.report = onEvent;
      return { close: () => undefined };
    },
  } as unknown as KeyValue;
}

const options = { prefix: "p/", callTimeoutMs: 1000, resyncMs: 60_000 };

const maxWaitMs = 5000;

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  const deadline = now() + maxWaitMs;
  while (!isDone()) {
    assert.ok(now() < deadline, "not done in time");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
};

const start = async () => {
  const fake = new FakeKeyValue();
  const reportedKeys: string[][] = [];
  const restorations: Restoration[] = [];
  const onRestored = (one: Restoration) => {
    restorations.push(one);
  };
  const all = { ...options, onRestored };
  const mirror = mirrorPrefix(fake.client, all, (entries) => {
    reportedKeys.push(entries.map(({ key }) => key));
  });
  await waitUntil(() => fake.watchedFrom.length === 1);
  return { fake, reportedKeys, restorations, mirror };
};

test("a lost watch resumes after the last received change", async () => {
  const { fake, reportedKeys, mirror } = await start();
  const changes = [{ type: "put" as const, entry: entry("p/a", 5) }];
  fake.report({ type: "changes", era: 1, revision: 5, changes });
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
  fake.report({ type: "changes", era: 1, revision: 5, changes });
  fake.listed = { era: 1, revision: 9, entries: [entry("p/b", 8)] };
  fake.report({ type: "compacted", compactRevision: 7 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.deepEqual(fake.watchedFrom, [2, 10]);
  assert.deepEqual(reportedKeys.at(-1), ["p/b"]);
  mirror.close();
});

test("a restored store is listed again and what it lost is reported", async () => {
  const { fake, reportedKeys, restorations, mirror } = await start();
  const changes = ["p/a", "p/b"].map((key) => ({
    type: "put" as const,
    entry: entry(key, 5),
  }));
  fake.report({ type: "changes", era: 1, revision: 5, changes });
  const again = { ...entry("p/a", 5), value: "other" };
  fake.listed = { era: 2, revision: 5, entries: [again] };
  fake.report({ type: "restored", era: 2 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.deepEqual(reportedKeys.at(-1), ["p/a"]);
  assert.deepEqual(restorations, [
    { fromEra: 1, toEra: 2, missingKeys: ["p/b"], changedKeys: ["p/a"] },
  ]);
  mirror.close();
});

test("an answer of an earlier era that arrives late changes nothing", async () => {
  const { fake, reportedKeys, mirror } = await start();
  fake.listed = { era: 2, revision: 1, entries: [entry("p/new", 1)] };
  fake.report({ type: "restored", era: 2 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  const changes = [{ type: "put" as const, entry: entry("p/old", 9) }];
  fake.report({ type: "changes", era: 1, revision: 9, changes });
  assert.deepEqual(reportedKeys.at(-1), ["p/new"]);
  mirror.close();
});

test("a list that the watch has overtaken does not bring back removed entries", async () => {
  const { fake, reportedKeys, mirror } = await start();
  fake.report({ type: "changes", era: 1, revision: 8, changes: [] });
  const stale = { era: 1, revision: 7, entries: [entry("p/gone", 2)] };
  fake.listedFirst.push(stale);
  fake.listed = { era: 1, revision: 8, entries: [] };
  fake.report({ type: "compacted", compactRevision: 3 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.equal(fake.listCount, 3);
  assert.ok(!reportedKeys.flat().includes("p/gone"));
  mirror.close();
});

test("a store whose eras begin anew is read after some lists that agree", async () => {
  const { fake, reportedKeys, mirror } = await start();
  fake.listed = { era: 0, revision: 1, entries: [entry("p/new", 1)] };
  fake.report({ type: "restored", era: 0 });
  await waitUntil(() => fake.watchedFrom.length === 2);
  assert.equal(fake.listCount, 4);
  assert.deepEqual(reportedKeys.at(-1), ["p/new"]);
  mirror.close();
});
