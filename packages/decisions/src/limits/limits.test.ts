import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  allowanceOf,
  createLimitsState,
  createRetryBudgets,
  ownDemandOf,
  earnRetryCredit,
  refillTokenBalance,
  removePeerDemand,
  recordPeerDemand,
  refillRetryBudgets,
  tryTakeRetry,
  advanceLimitPeriod,
  usageOf,
  type LimitsState,
} from "./index.js";

const limits = { concurrent: 100, tokensPerSecond: 1000 };
const roundMs = 1000;

interface Fleet {
  readonly routers: LimitsState[];
  at: number;
}

const createFleet = (count: number): Fleet => ({
  routers: Array.from({ length: count }, () => createLimitsState()),
  at: 1000,
});

const exchange = (
  { routers, at }: Fleet,
  canTalk: (a: number, b: number) => boolean = () => true,
) => {
  const demands = routers.map(ownDemandOf);
  routers.forEach((router, here) => {
    demands.forEach((demand, there) => {
      if (here === there) return;
      if (canTalk(here, there))
        recordPeerDemand(router, String(there), demand, at);
      else removePeerDemand(router, String(there));
    });
    advanceLimitPeriod(router, at);
  });
};

/** Each router uses its whole share, up to the demand of its callers. */
const fill = (fleet: Fleet, wants: readonly number[], present: number) => {
  fleet.routers.forEach((router, index) => {
    const use = usageOf(router, "c");
    const want = wants[index] ?? 0;
    const { concurrent } = allowanceOf(router, "c", limits, present, fleet.at);
    const allowed = Math.floor(concurrent);
    use.inFlight = Math.min(want, Math.max(use.inFlight, allowed));
    if (use.inFlight > allowed) use.inFlight = allowed;
    use.waiting = want - use.inFlight;
  });
};

const total = ({ routers }: Fleet) =>
  routers.reduce((sum, router) => sum + usageOf(router, "c").inFlight, 0);

test("a limit is divided by demand and exceeded by at most one request per router", () => {
  const fleet = createFleet(8);
  let maxTotal = 0;
  for (let round = 0; round < 40; round += 1) {
    fill(fleet, [100, 100, 0, 0, 0, 0, 0, 20], 8);
    maxTotal = Math.max(maxTotal, total(fleet));
    exchange(fleet);
    fleet.at += roundMs;
  }
  assert.ok(maxTotal <= limits.concurrent + 8, String(maxTotal));
  assert.ok(total(fleet) >= 0.9 * limits.concurrent, String(total(fleet)));
});

test("during a partition in two halves usage is at most twice the limit, and within it again afterwards", () => {
  const fleet = createFleet(6);
  const wants = [50, 50, 50, 50, 50, 50];
  for (let round = 0; round < 10; round += 1) {
    fill(fleet, wants, 6);
    exchange(fleet);
    fleet.at += roundMs;
  }
  const isSameHalf = (a: number, b: number) => a < 3 === b < 3;
  let most = 0;
  for (let round = 0; round < 20; round += 1) {
    fill(fleet, wants, 3);
    most = Math.max(most, total(fleet));
    exchange(fleet, isSameHalf);
    fleet.at += roundMs;
  }
  assert.ok(most <= 2 * limits.concurrent + 6, String(most));
  for (let round = 0; round < 5; round += 1) {
    exchange(fleet);
    fleet.at += roundMs;
    fill(fleet, wants, 6);
  }
  assert.ok(total(fleet) <= limits.concurrent + 6, String(total(fleet)));
});

test("routers that all demand the whole limit before they exchange demand stay within it", () => {
  const fleet = createFleet(3);
  exchange(fleet);
  fill(fleet, [300, 300, 300], 3);
  fill(fleet, [300, 300, 300], 3);
  assert.ok(total(fleet) <= limits.concurrent + 3, String(total(fleet)));
});

test("a router without demand of other routers takes only an equal part of the limit", () => {
  const router = createLimitsState();
  usageOf(router, "c").waiting = 80;
  const { concurrent } = allowanceOf(router, "c", limits, 10, 0);
  assert.equal(concurrent, 10);
});

test("expired demand is ignored and idle customers are removed", () => {
  const router = createLimitsState();
  const demand = { customer: "c", inFlight: 95, tokensPerSecond: 0 };
  recordPeerDemand(router, "p", [demand], 0);
  assert.ok(allowanceOf(router, "c", limits, 2, 1000).concurrent < 5);
  assert.equal(allowanceOf(router, "c", limits, 2, 60_000).concurrent, 50);
  advanceLimitPeriod(router, 60_000);
  assert.equal(router.customers.size, 0);
});

test("a token bucket refills at its rate up to two seconds of it and can be overdrawn once", () => {
  const use = usageOf(createLimitsState(), "c");
  refillTokenBalance(use, 100, 0);
  assert.equal(use.tokenBalance, 200);
  use.tokenBalance -= 500;
  refillTokenBalance(use, 100, 1000);
  assert.equal(use.tokenBalance, -200);
  refillTokenBalance(use, 100, 60_000);
  assert.equal(use.tokenBalance, 200);
});

test("in any mix of failures, retries of new requests stay within a tenth of first attempts plus the initial credit", () => {
  const step = fc.oneof(
    { weight: 5, arbitrary: fc.constant("first" as const) },
    { weight: 10, arbitrary: fc.constant("retry" as const) },
    { weight: 2, arbitrary: fc.constant("resume" as const) },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 800 }), (steps) => {
      const budgets = createRetryBudgets();
      const attempt = { customer: "c", backEnd: "e", acceptedTokens: 0 };
      let first = 0;
      let retries = 0;
      for (const one of steps) {
        if (one === "first") {
          first += 1;
          earnRetryCredit(budgets, attempt);
        } else if (one === "retry") {
          if (tryTakeRetry(budgets, attempt)) retries += 1;
        } else {
          const resumed = tryTakeRetry(budgets, {
            ...attempt,
            acceptedTokens: 7,
          });
          assert.equal(
            resumed,
            true,
            "a stream with delivered tokens is always resumed",
          );
        }
      }
      assert.ok(retries <= 10 + first * 0.1 + 1e-6);
    }),
    { seed: 3, numRuns: 300 },
  );
});

test("retry credit is refilled over time", () => {
  const budgets = createRetryBudgets();
  const attempt = { customer: "c", backEnd: "e", acceptedTokens: 0 };
  while (tryTakeRetry(budgets, attempt));
  refillRetryBudgets(budgets, 10_000);
  assert.equal(tryTakeRetry(budgets, attempt), true);
});
