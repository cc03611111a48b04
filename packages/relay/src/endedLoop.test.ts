import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { createChannel, createSourceDriver, now } from "@cardamomglade/common";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { measureStalls } from "@cardamomglade/common/testing/measureStalls";
import { freePort } from "@cardamomglade/common/testing/freePort";
import { createRelay } from "./createRelay.js";
import type { RelayEvent } from "./decisions/events.js";
import { testProtocol } from "./testing/testProtocol.js";
import { testStateOptions } from "./testing/testStateOptions.js";

// Load: an event that no decision can handle.
test("a relay whose event loop has ended says nothing, or serves nobody for its whole grace", async () => {
  const host = "127.0.0.1";
  const events = createChannel<RelayEvent>();
  let endedCount = 0;
  const relay = createRelay({
    front: { host, port: await freePort() },
    readiness: { host, port: await freePort() },
    metrics: { host, port: await freePort() },
    protocol: testProtocol,
    state: testStateOptions("r1"),
    log: () => undefined,
    platform: [createSourceDriver(events.stream)],
    onLoopEnded: () => {
      endedCount += 1;
    },
    gauges: () => ({}),
  });
  await sleep(20);
  events.push(undefined as unknown as RelayEvent);
  await eventually(() => endedCount > 0, "the end of the loop");
  const { stalledMs } = measureStalls();
  const startedAt = now();
  await relay.drain(startedAt + 6000);
  const tookMs = now() - startedAt - stalledMs();
  assert.ok(tookMs < 2000, "the stop waits for what cannot end");
  assert.equal(endedCount, 1);
});
