/** A plain service with one slow replica, with second tries off and on; prints the figures. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { idempotentPath, nonIdempotentPath } from "../../testing/scenario.js";
import {
  TimedReplicas,
  type TimedResult,
  type TimedRun,
} from "../../testing/timedReplicas.js";

const usualMs = 20;
const slowMs = 200;
const share = 0.05;
const warmUpCount = 1000;
const requestCount = 10_000;
const intervalMs = 10;
const samplingRatio = 1.02; // the times drawn differ between two runs

/** Spreads the times of a replica evenly over a range. */
const spread = (index: number): number => ((index * 7919) % 1000) / 1000;

/** One replica takes ten times as long. */
const oneSlow = ({ replica, index }: TimedRun): number =>
  (replica === "a-0" ? slowMs : usualMs) * (0.8 + 0.4 * spread(index));

/** Three in a thousand answers of all replicas take ten times as long. */
const fewSlow = ({ index }: TimedRun): number =>
  spread(index) >= 0.997 ? slowMs : usualMs * (0.8 + 0.4 * spread(index));

const quantile = (times: readonly number[], part: number): number => {
  const sorted = times.toSorted((a, b) => a - b);
  return sorted[Math.ceil(part * sorted.length) - 1] ?? 0;
};

const play = (
  replicaCount: number,
  usedShare: number,
  answerMs = oneSlow,
  targetOf = () => idempotentPath,
): TimedResult => {
  const replicas = TimedReplicas.create({
    replicaCount,
    share: usedShare,
    answerMs,
  });
  replicas.run(warmUpCount, intervalMs);
  return replicas.run(requestCount, intervalMs, targetOf);
};

const summaryOf = (
  { latencies, requestCount: count, runCount }: TimedResult,
  target = idempotentPath,
) => {
  const times = latencies
    .filter((one) => one.target === target)
    .map(({ ms }) => ms);
  return {
    p50: quantile(times, 0.5),
    p99: quantile(times, 0.99),
    p999: quantile(times, 0.999),
    extra: (runCount - count) / count,
  };
};

const cases = [
  { name: "one of 3 replicas is slow", count: 3, answerMs: oneSlow },
  { name: "one of 20 replicas is slow", count: 20, answerMs: oneSlow },
  {
    name: "a few answers of all replicas are slow",
    count: 3,
    answerMs: fewSlow,
  },
];

for (const { name, count, answerMs } of cases)
  test(`second tries halve the slowest answers: ${name}`, (t) => {
    const off = summaryOf(play(count, 0, answerMs));
    const on = summaryOf(play(count, share, answerMs));
    t.diagnostic(`off ${JSON.stringify(off)}`);
    t.diagnostic(`on ${JSON.stringify(on)}`);
    assert.ok(on.p999 <= off.p999 / 2, "p99.9");
    assert.ok(on.p99 <= off.p99 * samplingRatio, "p99");
    assert.ok(on.p50 <= off.p50 * samplingRatio, "p50");
    assert.ok(on.extra <= share, "extra runs");
    assert.equal(off.extra, 0);
  });

test("requests that run once only are no slower and run once beside second tries", (t) => {
  const mixed = () => {
    let index = 0;
    return () => (index++ % 2 === 0 ? idempotentPath : nonIdempotentPath);
  };
  const results = [0, share].map((used) => play(3, used, oneSlow, mixed()));
  const [off, on] = results.map((one) => summaryOf(one, nonIdempotentPath));
  t.diagnostic(`off ${JSON.stringify(off)}`);
  t.diagnostic(`on ${JSON.stringify(on)}`);
  assert.ok(off !== undefined && on !== undefined);
  assert.ok(on.p50 <= off.p50 * samplingRatio, "p50");
  assert.ok(on.p99 <= off.p99 * samplingRatio, "p99");
  assert.ok(on.p999 <= off.p999 * samplingRatio, "p99.9");
  assert.ok(on.extra <= share / 2, "extra runs");
});
