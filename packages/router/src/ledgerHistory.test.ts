import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestExecuted } from "@cardamomglade/common";
import { ErrorType } from "./errors.js";
import {
  LedgerCluster,
  type ClientCall,
  type ServiceExecution,
} from "./testing/ledgerCluster.js";

const seedCount = 200;
const firstSeed = 1;
const faultsFromMs = 3000;
const faultsUntilMs = 18_000;
const settleUntilMs = 32_000;

type Fault = (cluster: LedgerCluster) => void;

const pickRouter = ({ simulation, routers }: LedgerCluster) => {
  const live = routers.filter(({ isDead }) => !isDead);
  const [first, ...rest] = live;
  assert.ok(first !== undefined);
  return simulation.pick([first, ...rest]);
};

const faults: readonly [Fault, ...Fault[]] = [
  // Peer messages, calls and responses are lost.
  (cluster) => {
    cluster.lossProbability = 0.2;
    cluster.simulation.schedule(3000, () => {
      cluster.lossProbability = 0;
    });
  },
  // A router process is paused, for less or more than its lease's time to live.
  (cluster) => {
    const { simulation } = cluster;
    pickRouter(cluster).pausedUntil =
      simulation.now + simulation.randomInt(200, 9000);
  },
  // A host is suspended, so its monotonic clock stops too.
  (cluster) => {
    const { simulation } = cluster;
    const router = pickRouter(cluster);
    const forMs = simulation.randomInt(200, 9000);
    router.pausedUntil = simulation.now + forMs;
    router.clockOffsetMs -= forMs;
  },
  // A router cannot reach the key-value service.
  (cluster) => {
    const { simulation } = cluster;
    pickRouter(cluster).storeUnreachableUntil =
      simulation.now + simulation.randomInt(500, 6000);
  },
  // Routers cannot reach each other.
  (cluster) => {
    const { simulation } = cluster;
    cluster.partitionUntil = simulation.now + simulation.randomInt(500, 5000);
  },
  // The key-value service is down.
  (cluster) => {
    const { simulation } = cluster;
    cluster.storeDownUntil = simulation.now + simulation.randomInt(200, 6000);
  },
  // A router is killed; another starts with a different clock offset.
  (cluster) => {
    cluster.kill(pickRouter(cluster));
    cluster.simulation.schedule(500, () => {
      cluster.startRouter();
    });
  },
  // A router drains and releases its leases; another replaces it.
  (cluster) => {
    const router = pickRouter(cluster);
    cluster.drain(router);
    cluster.startRouter();
  },
];

const startClient = (cluster: LedgerCluster, client: number): void => {
  const { simulation } = cluster;
  const sendNext = () => {
    if (simulation.now > faultsUntilMs) return;
    const key = `k${String(simulation.randomInt(0, 60))}`;
    const body = simulation.randomBoolean(0.05) ? "other" : "body";
    cluster.sendCall(pickRouter(cluster), key, body);
    simulation.schedule(simulation.randomInt(20, 600), sendNext);
  };
  simulation.schedule(1000 + client * 37, sendNext);
};

const runSeed = (seed: number): LedgerCluster => {
  const cluster = LedgerCluster.create(seed, 3);
  const { simulation } = cluster;
  for (let client = 0; client < 6; client += 1) startClient(cluster, client);
  const injectFaults = () => {
    if (simulation.now > faultsUntilMs) return;
    simulation.pick(faults)(cluster);
    simulation.pick(faults)(cluster);
    simulation.schedule(simulation.randomInt(1500, 5000), injectFaults);
  };
  simulation.schedule(faultsFromMs, injectFaults);
  simulation.runUntil(settleUntilMs);
  return cluster;
};

const assertHistory = (cluster: LedgerCluster, seed: number): void => {
  const byKey = new Map<string, ServiceExecution[]>();
  for (const run of cluster.executions)
    byKey.set(run.key, [...(byKey.get(run.key) ?? []), run]);
  const name = (call: ClientCall) =>
    `seed ${String(seed)}, key ${call.key}, request ${call.requestId}`;
  for (const [key, ran] of byKey)
    assert.ok(
      ran.length <= 1,
      `seed ${String(seed)}: key ${key} was executed twice`,
    );
  for (const call of cluster.calls.values()) {
    const [run] = byKey.get(call.key) ?? [];
    if (call.ran === RequestExecuted.No) {
      assert.notEqual(
        run?.requestId,
        call.requestId,
        `${name(call)}: reported as not executed, but was executed`,
      );
      if (call.answer !== ErrorType.KeyConflict.toString())
        assert.ok(
          run === undefined || run.at > call.sentAt,
          `${name(call)}: ${call.answer ?? ""} reports "not executed" after its key had been executed`,
        );
    }
    if (call.ran === RequestExecuted.Yes)
      assert.equal(call.answer, `${call.key} ${run?.body ?? ""}`, name(call));
  }
};

test(`in ${String(seedCount)} fault histories, seeds from ${String(firstSeed)}, no key is executed twice and no executed call is reported as not executed`, () => {
  let executionCount = 0;
  for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
    const cluster = runSeed(seed);
    assertHistory(cluster, seed);
    executionCount += cluster.executions.length;
    const last = cluster.sendCall(pickRouter(cluster), "last", "body");
    cluster.simulation.runUntil(settleUntilMs + 3000);
    assert.equal(
      last.ran,
      RequestExecuted.Yes,
      `seed ${String(seed)}: a call after the faults was not executed`,
    );
  }
  assert.ok(
    executionCount > seedCount * 20,
    `only ${String(executionCount)} calls were executed`,
  );
});
