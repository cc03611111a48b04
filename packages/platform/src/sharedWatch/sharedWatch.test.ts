import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { now, rendezvousOrder } from "@cardamomglade/common";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { freePort } from "@cardamomglade/common/testing/freePort";
import { mirrorPrefix } from "../mirrorPrefix.js";
import type {
  KeyValueEntry,
  Outcome,
  RangeResult,
  WatchChange,
  WatchEvent,
  WatchHandle,
  WatchOptions,
} from "../types.js";
import { followTimeoutMs, maxSharedValueLength } from "./constants.js";
import { SharedWatch } from "./sharedWatch.js";
import type { SharedWatchLimits, SharingRouter } from "./types.js";

const failure = { type: "unavailable" as const, message: "cut off" };
const confirmIntervalMs = 40;
const limits = { heartbeatMs: 25, maxAgeMs: 200 };
const convergenceTimeoutMs = 3000;
const pollMs = 10;

const revisionOf = (change: WatchChange): number =>
  change.type === "put" ? change.entry.modRevision : change.modRevision;

/** The store, shared by all routers of a test. */
class FakeStore {
  era = 1;
  revision = 1;
  watchCalls = 0;
  listCount = 0;
  entries = new Map<string, KeyValueEntry>();
  changes: WatchChange[] = [];

  /** Comes back from a copy that is as old as a revision. */
  restore(revision: number): void {
    this.era += 1;
    this.revision = revision;
    this.changes = this.changes.filter((one) => revisionOf(one) <= revision);
    this.entries = new Map();
    for (const one of this.changes)
      if (one.type === "put") this.entries.set(one.entry.key, one.entry);
      else this.entries.delete(one.key);
  }

  put(key: string, value: string): void {
    this.revision += 1;
    const { revision } = this;
    const entry = {
      key,
      value,
      createRevision: revision,
      modRevision: revision,
      lease: "0",
    };
    this.entries.set(key, entry);
    this.changes.push({ type: "put", entry });
  }

  remove(key: string): void {
    this.revision += 1;
    this.entries.delete(key);
    this.changes.push({ type: "delete", key, modRevision: this.revision });
  }

  changesAfter(after: number): WatchChange[] {
    return this.changes.filter((one) => revisionOf(one) > after);
  }
}

/** One router's way to the store, which can be cut. */
class StoreAccess {
  isCut = false;

  constructor(private readonly store: FakeStore) {}

  range(key: string): Promise<Outcome<RangeResult>> {
    if (this.isCut) return Promise.resolve({ type: "unknown", failure });
    const entries = [...this.store.entries.values()].filter((one) =>
      one.key.startsWith(key),
    );
    const { era, revision } = this.store;
    this.store.listCount += 1;
    const value = { era, revision, entries };
    return Promise.resolve({ type: "done", value });
  }

  watch(
    _key: string,
    options: WatchOptions,
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle {
    let after = options.after.revision;
    const timer = setInterval(() => {
      this.store.watchCalls += 1;
      if (this.isCut) {
        clearInterval(timer);
        onEvent({ type: "lost", failure });
        return;
      }
      const { era, revision } = this.store;
      if (era !== options.after.era) {
        clearInterval(timer);
        onEvent({ type: "restored", era });
        return;
      }
      const changes = this.store.changesAfter(after);
      after = revision;
      onEvent({ type: "changes", era, revision, changes });
    }, confirmIntervalMs);
    return {
      close: () => {
        clearInterval(timer);
      },
    };
  }
}

/** A router with its view of the entries. */
interface TestRouter {
  readonly name: string;
  readonly access: StoreAccess;
  readonly shared: SharedWatch;
  entries: ReadonlyMap<string, string>;
  /** Outcomes heard from others, by replica. */
  readonly heard: Map<string, [number, number]>;
  /** When the store last confirmed the entries, as the followed router told. */
  confirmedAt: number;
  /** Why it changed the source of its watch, in turn. */
  readonly moves: string[];
  /** Whether handling the next change throws. */
  failNext: boolean;
  /** Whether others can connect to it. */
  isOpen: boolean;
  /** Begins to mirror the entries. */
  begin(): void;
  stop(): void;
}

const startedRouters: TestRouter[] = [];

// A test that fails leaves its routers running, and the process with them.
afterEach(() => {
  for (const router of startedRouters.splice(0)) router.stop();
});

const startRouter = (
  store: FakeStore,
  { router, address }: SharingRouter,
  routers: readonly SharingRouter[],
  onMove: () => void = () => undefined,
  limitsInUse: SharedWatchLimits = limits,
): TestRouter => {
  assert.ok(address);
  const access = new StoreAccess(store);
  const shared = SharedWatch.create({
    store: access,
    router,
    zone: "a",
    address,
    limits: () => limitsInUse,
    onSource: (_source, reason) => {
      started.moves.push(reason);
      onMove();
    },
    onConfirmed: (_source, at) => {
      started.confirmedAt = at;
    },
    onOutcomes: (outcomes) => {
      for (const { replica, succeeded, failed } of outcomes) {
        const [good, bad] = started.heard.get(replica) ?? [0, 0];
        started.heard.set(replica, [good + succeeded, bad + failed]);
      }
    },
    onPortEvent: (event) => {
      assert.deepEqual(event, { type: "opened", hasBeenBlocked: false });
      started.isOpen = true;
    },
  });
  shared.setRouters(routers);
  const options = {
    prefix: "",
    callTimeoutMs: 500,
    resyncMs: 60_000,
    maxBackoffMs: 100,
  };
  let handle: WatchHandle | undefined;
  const onEntries = (entries: readonly KeyValueEntry[]) => {
    if (started.failNext) {
      started.failNext = false;
      throw new Error("planted");
    }
    started.entries = new Map(entries.map(({ key, value }) => [key, value]));
  };
  const started: TestRouter = {
    name: router,
    access,
    shared,
    entries: new Map(),
    heard: new Map(),
    confirmedAt: -Infinity,
    moves: [],
    failNext: false,
    isOpen: false,
    begin: () => {
      handle = mirrorPrefix(shared, options, onEntries);
    },
    stop: () => {
      handle?.close();
      shared.stop();
    },
  };
  startedRouters.push(started);
  return started;
};

const startFleet = async (
  count: number,
  onMove?: () => void,
  limitsInUse?: SharedWatchLimits,
) => {
  const store = new FakeStore();
  store.put("servers/one", "ready");
  const routers: SharingRouter[] = [];
  for (let index = 0; index < count; index += 1)
    routers.push({
      router: `r${String(index)}`,
      zone: "a",
      address: { host: "127.0.0.1", port: await freePort() },
    });
  const started = routers.map((one) =>
    startRouter(store, one, routers, onMove, limitsInUse),
  );
  // A router that cannot be connected to yet would be avoided for a while.
  await eventually(() => started.every(({ isOpen }) => isOpen), "open ports");
  for (const router of started) router.begin();
  return { store, routers: started, registered: routers };
};

/**
 * Returns how long it took, in time in which this process ran: all routers are in
 * it, so a wait in which it stands still counts as one poll.
 */
const waitUntil = async (isDone: () => boolean): Promise<number> => {
  let ranMs = 0;
  const movesText = () =>
    startedRouters.map(({ name, moves }) => `${name}: ${moves.join()}`).join();
  while (!isDone()) {
    const isLate = ranMs >= convergenceTimeoutMs;
    assert.ok(!isLate, `did not converge; ${isLate ? movesText() : ""}`);
    await sleep(pollMs);
    ranMs += pollMs;
  }
  return ranMs;
};

/** Lets the process of all routers stand still. */
const standStill = (ms: number): void => {
  const until = now() + ms;
  while (now() < until);
};

const agree = (store: FakeStore, routers: readonly TestRouter[]): boolean =>
  routers.every(
    ({ entries }) =>
      entries.size === store.entries.size &&
      [...store.entries.values()].every(
        ({ key, value }) => entries.get(key) === value,
      ),
  );

const followerCountOf = (routers: readonly TestRouter[]): number =>
  routers.reduce((sum, { shared }) => sum + shared.followerCount(), 0);

test("one router of a zone watches the store and the others follow it", async () => {
  const { store, routers } = await startFleet(8);
  await waitUntil(() => followerCountOf(routers) === 7);
  store.put("servers/two", "ready");
  store.put("op/config", "x".repeat(maxSharedValueLength + 1));
  store.remove("servers/one");
  await waitUntil(() => agree(store, routers));
  const before = store.watchCalls;
  const countedFrom = now();
  await sleep(10 * confirmIntervalMs);
  const expected = (now() - countedFrom) / confirmIntervalMs;
  assert.ok(store.watchCalls - before <= 1.2 * expected);
  for (const router of routers) router.stop();
});

/** The router that the others follow. */
const watcherOf = (routers: readonly TestRouter[]): TestRouter => {
  const found = routers.filter(({ shared }) => shared.followerCount() > 0);
  assert.equal(found.length, 1);
  const [watcher] = found;
  assert.ok(watcher);
  return watcher;
};

// Load: a busy machine holds processes up for longer than a confirmation may be old.
test("routers that stood still leave the router that they follow", async () => {
  const { store, routers } = await startFleet(8);
  await waitUntil(() => followerCountOf(routers) === 7);
  for (const { moves } of routers) moves.length = 0;
  for (let round = 0; round < 5; round += 1) {
    standStill(2 * limits.maxAgeMs);
    store.put("servers/two", String(round));
    await waitUntil(() => agree(store, routers));
  }
  assert.deepEqual(
    routers.flatMap(({ moves }) => moves),
    [],
  );
  assert.equal(followerCountOf(routers), 7);
});

test("routers that stood still while they connected avoid the router that watches", async () => {
  let moveCount = 0;
  // Once the first ones have begun to connect.
  const { routers } = await startFleet(8, () => {
    moveCount += 1;
    if (moveCount === 1)
      setImmediate(() => {
        standStill(2 * followTimeoutMs);
      });
  });
  await waitUntil(() => moveCount > 0);
  await waitUntil(() => followerCountOf(routers) === 7);
  for (const { moves } of routers) assert.ok(moves.length <= 1, moves.join());
});

// Load: the watching router of a zone dies, and the one that replaces it is cut
// off from the store.
test("followers of a router that dies or is cut off learn every change elsewhere", async () => {
  const { store, routers } = await startFleet(8);
  await waitUntil(() => followerCountOf(routers) === 7);
  const dead = watcherOf(routers);
  dead.stop();
  const others = routers.filter((one) => one !== dead);
  store.remove("servers/one");
  await waitUntil(() => agree(store, others));
  await waitUntil(() => followerCountOf(others) === 6);
  const cut = watcherOf(others);
  cut.access.isCut = true;
  store.put("servers/three", "draining");
  const rest = others.filter((one) => one !== cut);
  const learnedMs = await waitUntil(() => agree(store, rest));
  assert.ok(learnedMs < 5 * limits.maxAgeMs);
  cut.access.isCut = false;
  await waitUntil(() => agree(store, others));
  for (const router of others) router.stop();
});

/** Milliseconds from a change on until routers know it that may reach the store, while others may not. */
const learnBesideCut = async (cutCount: number): Promise<number> => {
  const applyMs = 3000;
  const { store, routers } = await startFleet(9, undefined, {
    heartbeatMs: 0.1 * applyMs,
    maxAgeMs: 0.45 * applyMs,
  });
  await waitUntil(() => followerCountOf(routers) === 8);
  const watcher = watcherOf(routers);
  const ranked = rendezvousOrder(
    "a",
    routers.map(({ name }) => name),
  );
  const cutNames = new Set(ranked.slice(0, cutCount));
  assert.ok(cutNames.has(watcher.name));
  for (const { name, access } of routers) access.isCut = cutNames.has(name);
  store.put("op/config", "new");
  const rest = routers.filter(({ name }) => !cutNames.has(name));
  const learnedMs = await waitUntil(() => agree(store, rest));
  for (const router of routers) router.stop();
  return learnedMs;
};

// Load: the router that watches and the one that would replace it are cut off from
// the store; each takes followers on and has nothing new for them.
test("followers learn of a change late while each router that they follow is cut off", async () => {
  for (const cutCount of [1, 2]) {
    const learnedMs = await learnBesideCut(cutCount);
    assert.ok(learnedMs < 2200, `${String(cutCount)}: ${String(learnedMs)} ms`);
  }
});

// Load: each router sees too few requests to judge a replica alone.
test("each router hears the outcomes of all others of its zone once", async () => {
  const { routers } = await startFleet(6);
  await waitUntil(() => followerCountOf(routers) === 5);
  for (const { shared } of routers)
    shared.share([{ replica: "ill", succeeded: 1, failed: 2, times: [] }]);
  await waitUntil(() =>
    routers.every(({ heard }) => heard.get("ill")?.[1] === 10),
  );
  for (const { heard } of routers) assert.deepEqual(heard.get("ill"), [5, 10]);
  for (const router of routers) router.stop();
});

test("a router that starts again does not bring back what was removed", async () => {
  const { store, routers, registered } = await startFleet(7);
  await waitUntil(() => followerCountOf(routers) === 6);
  store.remove("servers/one");
  await waitUntil(() => agree(store, routers));
  const first = watcherOf(routers);
  first.stop();
  const own = registered.find(({ router }) => router === first.name);
  assert.ok(own);
  await sleep(50);
  const again = startRouter(store, own, registered);
  again.begin();
  const all = [...routers.filter((one) => one !== first), again];
  for (let round = 0; round < 20; round += 1) {
    await sleep(20);
    for (const { entries } of all) assert.ok(!entries.has("servers/one"));
  }
  store.put("servers/two", "ready");
  await waitUntil(() => agree(store, all));
  for (const router of all) router.stop();
});

// Load: a router that handles a change badly must not stay behind unnoticed.
test("a follower whose handling of a change fails goes on at another source", async () => {
  const { store, routers } = await startFleet(5);
  await waitUntil(() => followerCountOf(routers) === 4);
  const follower = routers.find(({ shared }) => shared.followerCount() === 0);
  assert.ok(follower);
  follower.failNext = true;
  store.put("servers/two", "ready");
  store.put("servers/three", "ready");
  await waitUntil(() => !follower.failNext);
  store.put("servers/four", "ready");
  await waitUntil(() => agree(store, routers));
  for (const router of routers) router.stop();
});

// Seen in a drill: 13 of 22 routers of a zone, ahead of the router that they
// followed, were told that nothing was new until the new history had overtaken them.
test("followers ahead of a restored store see its changes and lose none", async (t) => {
  const { store, routers } = await startFleet(7);
  t.after(() => {
    for (const router of routers) router.stop();
  });
  await waitUntil(() => followerCountOf(routers) === 6);
  const copied = store.revision;
  for (const value of ["2", "3", "4", "5"]) store.put("servers/two", value);
  await waitUntil(() => agree(store, routers));
  store.restore(copied);
  store.put("servers/new", "ready");
  await waitUntil(() => agree(store, routers));
  const listed = store.listCount;
  for (const value of ["6", "7", "8"]) {
    store.put("servers/new", value);
    await waitUntil(() => agree(store, routers));
  }
  // Two restores within a moment.
  store.restore(copied);
  store.put("servers/three", "ready");
  store.restore(copied);
  store.put("servers/four", "ready");
  await waitUntil(() => agree(store, routers));
  assert.ok(store.listCount - listed < routers.length);
});

// Load: the watching router is cut off while the store comes back from a copy.
test("a router in an earlier era is left by followers of a later one and reads it again", async (t) => {
  const { store, routers } = await startFleet(6);
  t.after(() => {
    for (const router of routers) router.stop();
  });
  await waitUntil(() => followerCountOf(routers) === 5);
  const copied = store.revision;
  store.put("servers/two", "old");
  await waitUntil(() => agree(store, routers));
  const cut = watcherOf(routers);
  cut.access.isCut = true;
  store.restore(copied);
  store.put("servers/two", "new");
  await waitUntil(() =>
    agree(
      store,
      routers.filter((one) => one !== cut),
    ),
  );
  cut.access.isCut = false;
  await waitUntil(() => agree(store, routers));
});

// Seen in a drill: a router that follows another one took the store for away until
// it called the store itself, and kept replicas that had left.
test("a follower knows when the store answers its router again", async (t) => {
  const { routers } = await startFleet(5);
  t.after(() => {
    for (const router of routers) router.stop();
  });
  await waitUntil(() => followerCountOf(routers) === 4);
  const cutAt = now();
  const followers = routers.filter((one) => one !== watcherOf(routers));
  for (const { access } of followers) access.isCut = true;
  await waitUntil(() =>
    followers.every(({ confirmedAt }) => confirmedAt > cutAt),
  );
});
