import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { pack } from "msgpackr";
import { isLater } from "../storePosition.js";
import type {
  KeyValueEntry,
  RangeResult,
  StorePosition,
  WatchChange,
} from "../types.js";
import {
  createHistory,
  messageSince,
  recordChanges,
  recordList,
  type ChangeHistory,
} from "./changeHistory.js";
import {
  decodeFollowerMessage,
  decodeSharedMessage,
  encodeSharedMessage,
} from "./codec.js";
import { maxHistoryChangeCount, maxSharedValueLength } from "./constants.js";

const put = (key: string, revision: number, value = key): WatchChange => ({
  type: "put",
  entry: {
    key,
    value,
    createRevision: revision,
    modRevision: revision,
    lease: "0",
  },
});

const historyAt = (revision: number): ChangeHistory =>
  createHistory({ era: 1, revision, entries: [] }, 0);

/** A store of which the state at every position is known; it may come back from any of them. */
class ModelStore {
  era = 1;
  private readonly statesByEra = new Map<number, ReadonlyMap<string, string>[]>(
    [[1, [new Map()]]],
  );
  private changes: WatchChange[] = [];
  private valueCount = 0;

  get revision(): number {
    return this.states(this.era).length - 1;
  }

  states(era: number): ReadonlyMap<string, string>[] {
    return this.statesByEra.get(era) ?? [];
  }

  change(key: string, isDelete: boolean): void {
    const revision = this.revision + 1;
    const next = new Map(this.states(this.era).at(-1));
    this.valueCount += 1;
    // Values repeat, so that equal ones meet at different revisions.
    const value = String(this.valueCount % 3);
    if (isDelete) next.delete(key);
    else next.set(key, value);
    this.states(this.era).push(next);
    this.changes.push(
      isDelete
        ? { type: "delete", key, modRevision: revision }
        : put(key, revision, value),
    );
  }

  restore(lostCount: number): void {
    const keptCount = Math.max(1, this.revision + 1 - lostCount);
    const kept = this.states(this.era).slice(0, keptCount);
    this.changes = this.changes.slice(0, keptCount - 1);
    this.era += 1;
    this.statesByEra.set(this.era, kept);
  }

  list(): RangeResult {
    const { era, revision } = this;
    const entries = [...(this.states(era).at(-1) ?? [])].map(
      ([key, value]): KeyValueEntry => {
        const latest = this.changes.findLast(
          (one) => one.type === "put" && one.entry.key === key,
        );
        assert.ok(latest?.type === "put" && latest.entry.value === value);
        return latest.entry;
      },
    );
    return { era, revision, entries };
  }

  changesAfter(revision: number): WatchChange[] {
    return this.changes.slice(revision);
  }
}

/** A router that reads the store or another router, as the shared watch does. */
class ModelRouter {
  entries = new Map<string, string>();
  position: StorePosition = { era: 0, revision: 0 };
  history: ChangeHistory | undefined;

  list(store: ModelStore): void {
    const listed = store.list();
    this.entries = new Map(
      listed.entries.map(({ key, value }) => [key, value]),
    );
    const { era, revision } = listed;
    this.position = { era, revision };
    this.history =
      this.history === undefined
        ? createHistory(listed, 0)
        : recordList(this.history, listed, 0);
  }

  apply(position: StorePosition, changes: readonly WatchChange[]): void {
    const { era, revision } = position;
    if (this.history !== undefined)
      recordChanges(
        this.history,
        { type: "changes", era, revision, changes },
        0,
      );
    if (!isLater(position, this.position)) return;
    this.position = { era, revision };
    for (const change of changes)
      if (change.type === "put")
        this.entries.set(change.entry.key, change.entry.value);
      else this.entries.delete(change.key);
  }

  watch(store: ModelStore): void {
    if (this.history === undefined) return;
    const { era, revision } = this.position;
    if (era !== store.era) this.list(store);
    else this.apply(store, store.changesAfter(revision));
  }

  follow(other: ModelRouter, store: ModelStore): void {
    if (other.history === undefined || this.history === undefined) return;
    const bytes = encodeSharedMessage(
      messageSince(other.history, this.position, 0),
    );
    const message = decodeSharedMessage(bytes);
    assert.ok(message);
    if (message.type === "outcomes") assert.fail("not a change");
    if (message.type === "behind") {
      assert.ok(other.position.era < this.position.era);
      return;
    }
    if (message.type === "compacted") {
      this.list(store);
      return;
    }
    const changes = message.changes.filter(
      (change) => change.type !== "putWithoutValue",
    );
    this.apply(message, changes);
  }
}

// Load: watching routers that die, restart, fall behind and differ, while
// entries come and go and the store comes back from copies.
test("routers that read each other hold exactly the store's entries of their position (seed 11)", () => {
  const step = fc.record({
    act: fc.constantFrom(
      "change",
      "delete",
      "list",
      "watch",
      "follow",
      "follow",
      "boot",
      "restore",
    ),
    who: fc.nat(4),
    other: fc.nat(4),
    key: fc.constantFrom("a", "b", "c", "d"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const store = new ModelStore();
      const routers = Array.from({ length: 5 }, () => new ModelRouter());
      for (const { act, who, other, key } of steps) {
        const router = routers[who];
        const source = routers[other];
        assert.ok(router && source);
        const before = router.position;
        if (act === "change" || act === "delete")
          store.change(key, act === "delete");
        else if (act === "list") router.list(store);
        else if (act === "watch") router.watch(store);
        else if (act === "follow") router.follow(source, store);
        else if (act === "restore") store.restore(other);
        else routers[who] = new ModelRouter();
        if (act !== "boot") assert.ok(!isLater(before, router.position));
        assert.deepEqual(
          router.entries,
          store.states(router.position.era)[router.position.revision] ??
            new Map(),
        );
      }
    }),
    { seed: 11, numRuns: 4000, endOnFailure: false },
  );
});

test("a follower older than the history is told to list", () => {
  const history = historyAt(10);
  assert.equal(
    messageSince(history, { era: 1, revision: 9 }, 0).type,
    "compacted",
  );
  for (let revision = 11; revision < 20 + maxHistoryChangeCount; revision += 1)
    recordChanges(
      history,
      { type: "changes", era: 1, revision, changes: [put("k", revision)] },
      0,
    );
  assert.equal(history.changes.length, maxHistoryChangeCount);
  assert.equal(
    messageSince(history, { era: 1, revision: 12 }, 0).type,
    "compacted",
  );
});

test("a long value is left out and its key is named", () => {
  const history = historyAt(1);
  const changes = [put("k", 2, "x".repeat(maxSharedValueLength + 1))];
  recordChanges(history, { type: "changes", era: 1, revision: 2, changes }, 5);
  const message = messageSince(history, { era: 1, revision: 1 }, 25);
  assert.deepEqual(message, {
    type: "changes",
    era: 1,
    revision: 2,
    ageMs: 20,
    changes: [{ type: "putWithoutValue", key: "k", modRevision: 2 }],
  });
});

test("arbitrary and truncated bytes are no message (seed 3)", () => {
  const entry: KeyValueEntry = {
    key: "k",
    value: "v",
    createRevision: 1,
    modRevision: 2,
    lease: "0",
  };
  const bytes = encodeSharedMessage({
    type: "changes",
    era: 1,
    revision: 2,
    ageMs: 1,
    changes: [{ type: "put", entry }],
  });
  for (let end = 0; end < bytes.length; end += 1)
    assert.equal(decodeSharedMessage(bytes.subarray(0, end)), undefined);
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 60 }), (random) => {
      const message = decodeSharedMessage(random);
      assert.ok(message === undefined || message.type.length > 0);
      const sent = decodeFollowerMessage(random);
      assert.ok(sent === undefined || sent.type.length > 0);
    }),
    { seed: 3, numRuns: 3000 },
  );
});

// A router of an earlier version sends and reads messages without an era.
test("a message without an era is of the only era", () => {
  const message = decodeSharedMessage(pack(["changes", 7, 0, []]));
  assert.ok(message?.type === "changes");
  assert.deepEqual([message.era, message.revision], [0, 7]);
});

// Load: thirty versions of a large configuration within a second, at routers with slow links.
test("a follower is sent each version of an entry that changed many times, and has the last one late", () => {
  const history = historyAt(10);
  const config = "c".repeat(20_000);
  const changes = Array.from({ length: 30 }, (_, index) =>
    put("config", 11 + index, `${config}${String(index)}`),
  );
  const left: WatchChange = { type: "delete", key: "a", modRevision: 42 };
  const others = [put("a", 41), left, put("b", 43), put("a", 44, "again")];
  const all = [...changes, ...others];
  const event = {
    type: "changes" as const,
    era: 1,
    revision: 44,
    changes: all,
  };
  recordChanges(history, event, 0);
  const message = messageSince(history, { era: 1, revision: 10 }, 0);
  assert.equal(message.type, "changes");
  assert.deepEqual(message.changes, [
    put("config", 40, `${config}29`),
    put("b", 43),
    put("a", 44, "again"),
  ]);
  assert.ok(encodeSharedMessage(message).length < 2 * config.length);
});

// Load: values that are too long to be shared, each read from the store after the one before.
test("a follower reads a long value from the store for each of its versions", () => {
  const history = historyAt(10);
  const long = "c".repeat(maxSharedValueLength + 1);
  const changes = [11, 12, 13].map((revision) => put("config", revision, long));
  const event = { type: "changes" as const, era: 1, revision: 13, changes };
  recordChanges(history, event, 0);
  const message = messageSince(history, { era: 1, revision: 10 }, 0);
  assert.equal(message.type, "changes");
  assert.deepEqual(message.changes, [
    { type: "putWithoutValue", key: "config", modRevision: 13 },
  ]);
});
