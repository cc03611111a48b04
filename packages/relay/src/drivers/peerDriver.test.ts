import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { pack } from "msgpackr";
import type { PortEvent } from "@cardamomglade/common";
import type { RelayEvent } from "../decisions/events.js";
import type { GossipItem } from "../decisions/gossip/types.js";
import { createPeerDriver } from "./peerDriver.js";
import {
  decodePeerMessage,
  encodeGossip,
  encodeLendingMessage,
  encodeOriginQuestion,
  encodeOrigins,
  encodeReturns,
} from "./peerMessages.js";

const host = "127.0.0.1";
const ports = [27_311 + (process.pid % 1000), 28_311 + (process.pid % 1000)];

test("any datagram decodes to a message or to undefined", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      decodePeerMessage(bytes, 0);
    }),
  );
  const long = { type: "ask" as const, service: "x".repeat(300) };
  assert.equal(decodePeerMessage(encodeLendingMessage(long), 0), undefined);
});

test("a request to lend a retry reaches the other router", async () => {
  const [first = 0, second = 0] = ports;
  const blocked: PortEvent[] = [];
  const onPortEvent = (event: PortEvent) => {
    if (event.type !== "opened") blocked.push(event);
  };
  const one = createPeerDriver({ host, port: first }, onPortEvent);
  const other = createPeerDriver({ host, port: second }, onPortEvent);
  const heard = new Promise<RelayEvent>((resolve) => {
    void other.events.observe(resolve);
  });
  const ask = setInterval(() => {
    const to = { host, port: second };
    one.perform({ type: "borrowRetry", to, service: "engines" });
  }, 10);
  const event = await heard;
  clearInterval(ask);
  assert.equal(event.type, "retryRequested");
  assert.deepEqual("from" in event && event.from, { host, port: first });
  await one.stop();
  await other.stop();
  assert.deepEqual(blocked, []);
});

const blockIds = Array.from(
  { length: 32 },
  (_, index) => `block-${String(index)}`,
);

test("replicas that are back are told in small datagrams, malformed ones are dropped", () => {
  const returned = Array.from({ length: 60 }, (_, index) => ({
    id: `i-${String(index)}`,
    startedAt: 1000 + index,
    host: "10.0.0.1",
    port: 8000 + index,
    seenAt: 400,
  }));
  const datagrams = encodeReturns(returned, 500);
  assert.ok(datagrams.length > 1);
  const decoded = datagrams.flatMap((bytes) => {
    assert.ok(bytes.length <= 1300);
    const message = decodePeerMessage(bytes, 10_000);
    return message?.type === "returns" ? message.returned : [];
  });
  const seenAt = 9900; // clocks differ, so ages are sent
  assert.deepEqual(
    decoded,
    returned.map((one) => ({ ...one, seenAt })),
  );
  const good = [0, "i", 1, "10.0.0.1", 80];
  for (const [index, odd] of [-1, "", "1", 7, 70_000].entries()) {
    const item = good.map((one, at) => (at === index ? odd : one));
    assert.equal(decodePeerMessage(pack(["returns", [item]]), 0), undefined);
  }
});

test("what routers tell of streams is split into small datagrams, malformed ones are dropped", () => {
  const origins = Array.from({ length: 60 }, (_, index) => ({
    key: `["engines","owner","attempt-${String(index)}"]`,
    version: index % 3 === 0 ? undefined : "v2",
  }));
  const datagrams = encodeOrigins(origins);
  assert.ok(datagrams.every(({ length }) => length <= 1250));
  const decoded = datagrams.flatMap((bytes) => {
    const message = decodePeerMessage(bytes, 0);
    assert.equal(message?.type, "origins");
    return message.origins;
  });
  assert.deepEqual(decoded, origins);
  const question = decodePeerMessage(encodeOriginQuestion("a"), 0);
  assert.deepEqual(question, { type: "askOrigin", key: "a" });
  const malformed: unknown[] = [
    ["askOrigin", 7],
    ["askOrigin", "x".repeat(300)],
    ["origins", "a"],
    ["origins", [["a"]]],
    ["origins", [["a", 7]]],
    ["origins", Array(200).fill(["a", "v1"])],
  ];
  for (const one of malformed)
    assert.equal(decodePeerMessage(pack(one), 0), undefined);
});

test("gossip is split into small datagrams and decodes to the same items by their age", () => {
  const items: GossipItem[] = [
    ...Array.from({ length: 5 }, (_, index) => ({
      type: "engineCrash" as const,
      process: `i-${String(index)}@7`,
      at: 4000,
      request: "r",
      blockIds,
    })),
    { type: "succeededBlocks", at: 3000, blockIds: ["a"] },
    {
      type: "requestLimit",
      replica: "i-1",
      startedAt: 7,
      perS: 12.3,
      at: 4500,
      source: "r1",
    },
    {
      type: "replicaLeaving",
      replica: "i-2",
      startedAt: 9,
      at: 4700,
      source: "r2",
    },
    { type: "softwareVersion", service: "s", version: "v2", at: 4800 },
    {
      type: "quarantine",
      blockIds: ["a", "b"],
      crashedAt: 2000,
      heldUntil: 9000,
      holdCount: 2,
      crashCount: 5,
      source: "r1",
    },
  ];
  const datagrams = encodeGossip(items, 5000);
  assert.ok(datagrams.every(({ length }) => length <= 1250));
  const decoded = datagrams.flatMap((bytes) => {
    const message = decodePeerMessage(bytes, 105_000);
    assert.equal(message?.type, "gossip");
    return message.items;
  });
  assert.equal(decoded.length, items.length);
  const [first] = decoded;
  assert.equal(first?.type === "engineCrash" && first.at, 104_000);
  const version = decoded.at(-2);
  assert.equal(version?.type === "softwareVersion" && version.at, 104_800);
  const leaving = decoded.at(-3);
  assert.equal(leaving?.type === "replicaLeaving" && leaving.at, 104_700);
  const limit = decoded.at(-4);
  assert.equal(limit?.type === "requestLimit" && limit.at, 104_500);
  const last = decoded.at(-1);
  assert.equal(last?.type === "quarantine" && last.heldUntil, 109_000);
});
