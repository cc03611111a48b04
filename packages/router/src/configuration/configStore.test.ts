import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { foldEvents, now } from "@cardamomglade/common";
import {
  formatConfigRecord,
  isConfigWatcher,
  parseConfigRecord,
  type AcceptedConfig,
} from "@cardamomglade/decisions";
import type {
  KeyValue,
  KeyValueEntry,
  Outcome,
  Transaction,
  TransactionResult,
  WatchEvent,
} from "@cardamomglade/platform";
import { createRouterState, decide } from "../decide.js";
import { createConfigDriver } from "../drivers/configDriver.js";
import type { RouterEvent } from "../types.js";
import { ConfigStore } from "./configStore.js";

const seed = 20261204;
const intent = {
  customers: [],
  models: [],
  backEnds: [],
  deployments: [],
  services: [],
  leaving: [],
};

const configAt = (revision: number, changeId = ""): AcceptedConfig => ({
  revision,
  intent,
  serving: [],
  change: { by: "o", why: "w", at: 1, planDigest: "", changeId },
});

/** What a write meets: it happens or not, and its answer comes or not. */
type WriteFate = "answered" | "lost" | "dropped";

const createFakeStore = (fates: WriteFate[] = []) => {
  const entries = new Map<string, KeyValueEntry>();
  const watches: ((event: WatchEvent) => void)[] = [];
  let revision = 1;
  let writes = 0;
  const apply = ({
    compare,
    success,
    failure,
  }: Transaction): TransactionResult => {
    const succeeded = compare.every(
      (one) =>
        one.type === "modRevision" &&
        (entries.get(one.key)?.modRevision ?? 0) === one.revision,
    );
    const reads: KeyValueEntry[][] = [];
    for (const operation of succeeded ? success : failure) {
      const { key } = operation;
      const found = entries.get(key);
      if (operation.type === "read")
        reads.push(found === undefined ? [] : [found]);
      if (operation.type !== "put") continue;
      const modRevision = revision + 1;
      const { value } = operation;
      const entry = { key, value, modRevision, createRevision: 1, lease: "0" };
      entries.set(key, entry);
    }
    if (succeeded) revision += 1;
    if (succeeded) writes += 1;
    return { succeeded, revision, reads };
  };
  const lost: Outcome<never> = {
    type: "unknown",
    failure: { type: "timeout", message: "no answer" },
  };
  const keyValue = {
    range: (key: string, { prefix }: { prefix: boolean }) =>
      Promise.resolve({
        type: "done" as const,
        value: {
          revision,
          entries: [...entries.values()].filter((entry) =>
            prefix ? entry.key.startsWith(key) : entry.key === key,
          ),
        },
      }),
    transact: (transaction: Transaction) => {
      const fate = fates.shift() ?? "answered";
      if (fate === "dropped") return Promise.resolve(lost);
      const value = apply(transaction);
      return Promise.resolve(
        fate === "lost" ? lost : { type: "done" as const, value },
      );
    },
    watch: (
      _key: string,
      _options: object,
      on: (event: WatchEvent) => void,
    ) => {
      watches.push(on);
      return { close: () => undefined };
    },
  } as unknown as KeyValue;
  const put = (key: string, value: string) =>
    apply({
      compare: [],
      success: [{ type: "put", key, value }],
      failure: [],
    });
  return { keyValue, watches, put, writes: () => writes };
};

test("a confirmed change whose answer is lost is found, and written once", async () => {
  const fates = fc.array(fc.constantFrom<WriteFate>("lost", "dropped"), {
    maxLength: 3,
  });
  const property = fc.asyncProperty(fates, async (drawn) => {
    const fake = createFakeStore([...drawn]);
    const store = ConfigStore.create(fake.keyValue, "/");
    const base = { config: undefined, modRevision: 0 };
    const deadline = now() + 60_000;
    const outcome = await store.commit(base, configAt(1, "change"), deadline);
    assert.deepEqual(outcome, { type: "committed", revision: 1 });
    assert.equal(fake.writes(), 1);
  });
  await fc.assert(property, { seed, numRuns: 6 });
});

test("of two operators at one base revision, the second is told of the first", async () => {
  const fake = createFakeStore(["lost", "dropped"]);
  const store = ConfigStore.create(fake.keyValue, "/");
  const base = { config: undefined, modRevision: 0 };
  const deadline = now() + 60_000;
  const outcomes = await Promise.all([
    store.commit(base, configAt(1, "first"), deadline),
    store.commit(base, configAt(1, "second"), deadline),
  ]);
  assert.deepEqual(outcomes.map(({ type }) => type).sort(), [
    "committed",
    "raced",
  ]);
  const history = await store.history(deadline);
  assert.equal(history.type === "ok" && history.value.length, 1);
});

test("an unanswered change ends as unknown, never as refused", async () => {
  const fake = createFakeStore(["dropped"]);
  const store = ConfigStore.create(fake.keyValue, "/");
  const base = { config: undefined, modRevision: 0 };
  const outcome = await store.commit(base, configAt(1, "c"), now());
  assert.equal(outcome.type, "unknown");
});

test("a router's revision never falls, whatever order revisions arrive in", () => {
  const router = { name: "r", host: "h", zone: "a", region: "r" };
  const arrival = fc.record({
    revision: fc.integer({ min: 1, max: 40 }),
    isOffer: fc.boolean(),
    isMalformed: fc.boolean(),
  });
  const toEvent = (one: {
    revision: number;
    isOffer: boolean;
    isMalformed: boolean;
  }): RouterEvent => {
    const { revision } = one;
    if (!one.isOffer)
      return { type: "configurationRead", at: 1, accepted: configAt(revision) };
    const document = one.isMalformed
      ? "{}"
      : formatConfigRecord(configAt(revision));
    const message = { type: "configOffer" as const, revision, document };
    return { type: "peerMessageReceived", at: 1, peer: "p", message };
  };
  const property = fc.property(fc.array(arrival), (arrivals) => {
    const events = arrivals.map(toEvent);
    const { commands } = foldEvents(decide, createRouterState(router), events);
    const inForce = commands.flatMap((command) =>
      command.type === "record" && command.event.name === "inForce"
        ? [command.event.revision ?? 0]
        : [],
    );
    const isRising = inForce.every(
      (revision, index) => index === 0 || revision > (inForce[index - 1] ?? 0),
    );
    assert.ok(isRising);
  });
  fc.assert(property, { seed, numRuns: 200 });
});

test("a malformed record is refused with its findings", () => {
  const parsed = parseConfigRecord("store", '{"revision": 0}');
  assert.equal(parsed.type, "err");
  const record = JSON.parse(formatConfigRecord(configAt(3))) as object;
  const text = JSON.stringify({ ...record, serving: [{ name: "d" }] });
  assert.equal(parseConfigRecord("store", text).type, "err");
  assert.equal(
    parseConfigRecord("store", formatConfigRecord(configAt(3))).type,
    "ok",
  );
});

test("two routers a zone watch in a large fleet, all in a small one", () => {
  const zonesOf = (count: number) =>
    new Map(
      Array.from({ length: count }, (_, index) => [
        `r${String(index)}`,
        `z${String(index % 5)}`,
      ]),
    );
  const watchersIn = (zones: Map<string, string>) =>
    [...zones].filter(([router, zone]) =>
      isConfigWatcher({ router, zone, zones }),
    ).length;
  assert.equal(watchersIn(zonesOf(330)), 10);
  assert.equal(watchersIn(zonesOf(8)), 8);
});

test("a compacted watch is followed by a list; a malformed change is passed over", async () => {
  const fake = createFakeStore();
  const key = "/config/current";
  fake.put(key, formatConfigRecord(configAt(1)));
  const driver = createConfigDriver(fake.keyValue, "/", () => undefined);
  const seen: number[] = [];
  const readTwo = new Promise<void>((resolve) => {
    void driver.events.observe((event) => {
      if (event.type !== "configurationRead") return;
      seen.push(event.accepted.revision);
      const watch = () => fake.watches[0];
      if (seen.length === 2) resolve();
      if (seen.length > 1) return;
      setImmediate(() => {
        fake.put(key, "{}");
        fake.put(key, formatConfigRecord(configAt(2)));
        watch()?.({ type: "compacted", compactRevision: 2 });
      });
    });
  });
  await readTwo;
  await driver.stop();
  assert.deepEqual(seen, [1, 2]);
});
