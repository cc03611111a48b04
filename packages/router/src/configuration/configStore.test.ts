import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { replayEvents, now } from "@cardamomglade/common";
import {
  formatConfigRecord,
  isConfigWatcher,
  parseConfigRecord,
  type AcceptedConfig,
} from "@cardamomglade/decisions";
import { createRouterState, decide } from "../decide.js";
import { createConfigDriver } from "../drivers/configDriver.js";
import {
  createFakeKeyValue,
  type WriteOutcome,
} from "../testing/fakeKeyValue.js";
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

test("a change whose answer is lost is recognized as committed and written only once", async () => {
  const fates = fc.array(fc.constantFrom<WriteOutcome>("lost", "dropped"), {
    maxLength: 3,
  });
  const property = fc.asyncProperty(fates, async (drawn) => {
    const fake = createFakeKeyValue([...drawn]);
    const store = ConfigStore.create(fake.keyValue, "/");
    const base = { config: undefined, modRevision: 0 };
    const deadline = now() + 60_000;
    const outcome = await store.commit(base, configAt(1, "change"), deadline);
    assert.deepEqual(outcome, { type: "committed", revision: 1 });
    assert.equal(fake.writes(), 1);
  });
  await fc.assert(property, { seed, numRuns: 6 });
});

test("of two changes to the same base revision, one is committed and the other is reported as raced", async () => {
  const fake = createFakeKeyValue(["lost", "dropped"]);
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

test("a change without an answer ends as unknown, never as refused", async () => {
  const fake = createFakeKeyValue(["dropped"]);
  const store = ConfigStore.create(fake.keyValue, "/");
  const base = { config: undefined, modRevision: 0 };
  const outcome = await store.commit(base, configAt(1, "c"), now());
  assert.equal(outcome.type, "unknown");
});

test("the configuration revision of a router never decreases, whatever order revisions arrive in", () => {
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
    const { commands } = replayEvents(
      decide,
      createRouterState(router),
      events,
    );
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

test("a malformed record is rejected", () => {
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

test("2 routers per zone watch the store in a large fleet, all routers in a small one", () => {
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

test("a compacted watch is followed by a list; a malformed change is skipped", async () => {
  const fake = createFakeKeyValue();
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

test("a router that starts while the store is down applies a peer's configuration and records its source", () => {
  const identity = (name: string) => ({
    name,
    host: "h",
    zone: "a",
    region: "r",
  });
  const started = replayEvents(decide, createRouterState(identity("new")), [
    { type: "peerLinked", at: 1, peer: "old" },
  ]);
  const sentConfigMessages = (commands: typeof started.commands) =>
    commands.flatMap((command) =>
      command.type === "sendToPeer" &&
      ["configRequest", "configOffer"].includes(command.message.type)
        ? [command.message]
        : [],
    );
  const requests = sentConfigMessages(started.commands);
  const answered = replayEvents(decide, createRouterState(identity("old")), [
    { type: "configurationRead", at: 1, accepted: configAt(7) },
    ...requests.map((message): RouterEvent => ({
      type: "peerMessageReceived",
      at: 2,
      peer: "new",
      message,
    })),
  ]);
  const applied = replayEvents(
    decide,
    started.state,
    sentConfigMessages(answered.commands).map((message): RouterEvent => ({
      type: "peerMessageReceived",
      at: 3,
      peer: "old",
      message,
    })),
  );
  assert.equal(applied.state.config.revision, 7);
  const inForce = applied.commands.find(
    (command) => command.type === "record" && command.event.name === "inForce",
  );
  assert.equal(inForce?.type === "record" && inForce.event.detail, "peer old");
});
