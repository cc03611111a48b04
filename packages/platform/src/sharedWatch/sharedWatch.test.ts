import assert from "node:assert/strict";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { mirrorPrefix } from "../mirrorPrefix.js";
import type {
  KeyValueEntry,
  Outcome,
  RangeResult,
  WatchChange,
  WatchEvent,
  WatchHandle,
} from "../types.js";
import { maxSharedValueLength } from "./constants.js";
import { SharedWatch } from "./sharedWatch.js";
import type { SharingRouter } from "./types.js";

const failure = { type: "unavailable" as const, message: "cut off" };
const confirmIntervalMs = 40;
const limits = { heartbeatMs: 25, maxAgeMs: 200 };
const convergenceTimeoutMs = 3000;

/** The store, shared by all routers of a test. */
class FakeStore {
  revision = 1;
  watchCalls = 0;
  readonly entries = new Map<string, KeyValueEntry>();
  readonly changes: WatchChange[] = [];

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
    return this.changes.filter(
      (one) =>
        (one.type === "put" ? one.entry.modRevision : one.modRevision) > after,
    );
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
    const { revision } = this.store;
    return Promise.resolve({ type: "done", value: { revision, entries } });
  }

  watch(
    _key: string,
    { fromRevision }: { readonly fromRevision: number },
    onEvent: (event: WatchEvent) => void,
  ): WatchHandle {
    let after = fromRevision - 1;
    const timer = setInterval(() => {
      this.store.watchCalls += 1;
      if (this.isCut) {
        clearInterval(timer);
        onEvent({ type: "lost", failure });
        return;
      }
      const { revision } = this.store;
      const changes = this.store.changesAfter(after);
      after = revision;
      onEvent({ type: "changes", revision, changes });
    }, confirmIntervalMs);
    return {
      close: () => {
        clearInterval(timer);
      },
    };
  }
}

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" && address ? address.port : 0;
      server.close(() => {
        resolve(port);
      });
    });
  });

/** A router with its view of the entries. */
interface TestRouter {
  readonly name: string;
  readonly access: StoreAccess;
  readonly shared: SharedWatch;
  entries: ReadonlyMap<string, string>;
  stop(): void;
}

const startRouter = (
  store: FakeStore,
  { router, address }: SharingRouter,
  routers: readonly SharingRouter[],
): TestRouter => {
  assert.ok(address);
  const access = new StoreAccess(store);
  const shared = SharedWatch.create({
    store: access,
    router,
    zone: "a",
    address,
    limits: () => limits,
    onSource: () => undefined,
    onError: (reason) => {
      assert.fail(reason);
    },
  });
  shared.setRouters(routers);
  const options = {
    prefix: "",
    callTimeoutMs: 500,
    resyncMs: 60_000,
    maxBackoffMs: 100,
  };
  const handle = mirrorPrefix(shared, options, (entries) => {
    started.entries = new Map(entries.map(({ key, value }) => [key, value]));
  });
  const started: TestRouter = {
    name: router,
    access,
    shared,
    entries: new Map(),
    stop: () => {
      handle.close();
      shared.stop();
    },
  };
  return started;
};

const startFleet = async (count: number) => {
  const store = new FakeStore();
  store.put("servers/one", "ready");
  const routers: SharingRouter[] = [];
  for (let index = 0; index < count; index += 1)
    routers.push({
      router: `r${String(index)}`,
      zone: "a",
      address: { host: "127.0.0.1", port: await freePort() },
    });
  const started = routers.map((one) => startRouter(store, one, routers));
  return { store, routers: started, registered: routers };
};

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  const deadline = now() + convergenceTimeoutMs;
  while (!isDone()) {
    assert.ok(now() < deadline, "did not converge");
    await sleep(10);
  }
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

test("two routers of a zone watch the store and the others follow them", async () => {
  const { store, routers } = await startFleet(8);
  await waitUntil(() => followerCountOf(routers) === 6);
  store.put("servers/two", "ready");
  store.put("op/config", "x".repeat(maxSharedValueLength + 1));
  store.remove("servers/one");
  await waitUntil(() => agree(store, routers));
  const before = store.watchCalls;
  await sleep(10 * confirmIntervalMs);
  assert.ok(store.watchCalls - before <= 2 * 12);
  for (const router of routers) router.stop();
});

// Load: the watching routers of a zone die at once, or are cut off from the store.
test("followers of routers that die or are cut off learn every change elsewhere", async () => {
  const { store, routers } = await startFleet(8);
  await waitUntil(() => followerCountOf(routers) === 6);
  const watching = routers.filter(({ shared }) => shared.followerCount() > 0);
  assert.equal(watching.length, 2);
  const [dead, cut] = watching;
  assert.ok(dead && cut);
  dead.stop();
  cut.access.isCut = true;
  const changedAt = now();
  store.remove("servers/one");
  store.put("servers/three", "draining");
  const others = routers.filter((one) => one !== dead && one !== cut);
  await waitUntil(() => agree(store, others));
  assert.ok(now() - changedAt < 5 * limits.maxAgeMs);
  cut.access.isCut = false;
  await waitUntil(() => agree(store, [...others, cut]));
  for (const router of routers) router.stop();
});

test("a router that starts again does not bring back what was removed", async () => {
  const { store, routers, registered } = await startFleet(7);
  await waitUntil(() => followerCountOf(routers) === 5);
  store.remove("servers/one");
  await waitUntil(() => agree(store, routers));
  const first = routers.find(({ shared }) => shared.followerCount() > 0);
  assert.ok(first);
  first.stop();
  const own = registered.find(({ router }) => router === first.name);
  assert.ok(own);
  await sleep(50);
  const again = startRouter(store, own, registered);
  const all = [...routers.filter((one) => one !== first), again];
  for (let round = 0; round < 20; round += 1) {
    await sleep(20);
    for (const { entries } of all) assert.ok(!entries.has("servers/one"));
  }
  store.put("servers/two", "ready");
  await waitUntil(() => agree(store, all));
  for (const router of all) router.stop();
});
