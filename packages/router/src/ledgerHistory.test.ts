import assert from "node:assert/strict";
import { test } from "node:test";
import { Ran } from "@cardamomglade/common";
import { ErrorType } from "./errors.js";
import {
  LedgerCluster,
  type ClientCall,
  type Run,
} from "./testing/ledgerCluster.js";

const runs = 200;
const firstSeed = 1;
const faultsFromMs = 3000;
const faultsUntilMs = 18_000;
const settleUntilMs = 32_000;

type Fault = (cluster: LedgerCluster) => void;

const anyRouter = ({ simulation, routers }: LedgerCluster) => {
  const live = routers.filter(({ isDead }) => !isDead);
  const [first, ...rest] = live;
  assert.ok(first !== undefined);
  return simulation.pick([first, ...rest]);
};

const faults: readonly [Fault, ...Fault[]] = [
  // Answers, calls and messages are lost.
  (cluster) => {
    cluster.lossShare = 0.2;
    cluster.simulation.after(3000, () => {
      cluster.lossShare = 0;
    });
  },
  // A router is paused, past its lease or not.
  (cluster) => {
    const { simulation } = cluster;
    anyRouter(cluster).pausedUntil =
      simulation.at + simulation.between(200, 9000);
  },
  // A host is suspended: its monotonic clock stands still too.
  (cluster) => {
    const { simulation } = cluster;
    const router = anyRouter(cluster);
    const forMs = simulation.between(200, 9000);
    router.pausedUntil = simulation.at + forMs;
    router.clockOffset -= forMs;
  },
  // A router is cut off from the key-value service.
  (cluster) => {
    const { simulation } = cluster;
    anyRouter(cluster).cutUntil = simulation.at + simulation.between(500, 6000);
  },
  // Routers are cut off from each other.
  (cluster) => {
    const { simulation } = cluster;
    cluster.partitionUntil = simulation.at + simulation.between(500, 5000);
  },
  // The key-value service is down.
  (cluster) => {
    const { simulation } = cluster;
    cluster.storeDownUntil = simulation.at + simulation.between(200, 6000);
  },
  // A router is killed; another starts with a clock of its own.
  (cluster) => {
    cluster.kill(anyRouter(cluster));
    cluster.simulation.after(500, () => {
      cluster.startRouter();
    });
  },
  // A router gives its leases up to drain; another takes its place.
  (cluster) => {
    const router = anyRouter(cluster);
    cluster.drain(router);
    cluster.startRouter();
  },
];

const startClient = (cluster: LedgerCluster, client: number): void => {
  const { simulation } = cluster;
  const next = () => {
    if (simulation.at > faultsUntilMs) return;
    const key = `k${String(simulation.between(0, 60))}`;
    const body = simulation.chance(0.05) ? "other" : "body";
    cluster.book(anyRouter(cluster), key, body);
    simulation.after(simulation.between(20, 600), next);
  };
  simulation.after(1000 + client * 37, next);
};

const runSeed = (seed: number): LedgerCluster => {
  const cluster = LedgerCluster.create(seed, 3);
  const { simulation } = cluster;
  for (let client = 0; client < 6; client += 1) startClient(cluster, client);
  const strike = () => {
    if (simulation.at > faultsUntilMs) return;
    simulation.pick(faults)(cluster);
    simulation.pick(faults)(cluster);
    simulation.after(simulation.between(1500, 5000), strike);
  };
  simulation.after(faultsFromMs, strike);
  simulation.runUntil(settleUntilMs);
  return cluster;
};

const check = (cluster: LedgerCluster, seed: number): void => {
  const byKey = new Map<string, Run[]>();
  for (const run of cluster.runs)
    byKey.set(run.key, [...(byKey.get(run.key) ?? []), run]);
  const name = (call: ClientCall) =>
    `seed ${String(seed)}, key ${call.key}, request ${call.requestId}`;
  for (const [key, ran] of byKey)
    assert.ok(ran.length <= 1, `seed ${String(seed)}: ${key} ran twice`);
  for (const call of cluster.calls.values()) {
    const [run] = byKey.get(call.key) ?? [];
    if (call.ran === Ran.No) {
      assert.notEqual(
        run?.requestId,
        call.requestId,
        `${name(call)}: false no`,
      );
      if (call.answer !== ErrorType.KeyConflict.toString())
        assert.ok(
          run === undefined || run.at > call.sentAt,
          `${name(call)}: ${call.answer ?? ""} says "no" after its key had run`,
        );
    }
    if (call.ran === Ran.Yes)
      assert.equal(call.answer, `${call.key} ${run?.body ?? ""}`, name(call));
  }
};

test(`histories of ${String(runs)} fault runs, seeds from ${String(firstSeed)}: no key runs twice, no "no" is false`, () => {
  let booked = 0;
  for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
    const cluster = runSeed(seed);
    check(cluster, seed);
    booked += cluster.runs.length;
    const last = cluster.book(anyRouter(cluster), "last", "body");
    cluster.simulation.runUntil(settleUntilMs + 3000);
    assert.equal(last.ran, Ran.Yes, `seed ${String(seed)}: no recovery`);
  }
  assert.ok(booked > runs * 20, `only ${String(booked)} calls ran`);
});
