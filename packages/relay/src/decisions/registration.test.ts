import assert from "node:assert/strict";
import { test } from "node:test";
import { engines, Scenario } from "../testing/scenario.js";
import { hasRetry, takeRetry } from "./retryBudget.js";

const fleetOf = (size: number): string[] =>
  Array.from({ length: size }, (_, index) => `r${String(index + 1)}`);

/** Number of retries that one router may send at once without any first attempt. */
const retriesOf = ({ state }: Scenario): number => {
  let count = 0;
  while (takeRetry(state, engines, state.at)) count += 1;
  return count;
};

test("60 routers that lose streams at once stay within the fleet's additional retries", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetOf(60));
  assert.ok(60 * retriesOf(scenario) <= 150);
});

test("two routers each get half of the additional retries", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetOf(2));
  assert.equal(retriesOf(scenario), 75);
});

test("a router without an entry takes at most an eighth of the additional retries", () => {
  const scenario = Scenario.create();
  scenario.routersRead(["r2"]);
  assert.equal(retriesOf(scenario), 18);
  scenario.advance(10_100);
  assert.ok(hasRetry(scenario.state, engines, scenario.at));
});

test("a router writes its entry once, renews it, and writes it again after it expired", () => {
  const scenario = Scenario.create();
  assert.deepEqual(scenario.routersRead([]), []);
  scenario.advance(2100);
  assert.equal(scenario.commandsOfType("register").length, 1);
  scenario.routersRead(["r1"]);
  scenario.advance(199_000);
  assert.equal(scenario.commandsOfType("renewRegistration").length, 0);
  scenario.advance(2000);
  assert.deepEqual(
    scenario.commandsOfType("renewRegistration").map(({ lease }) => lease),
    ["l-r1"],
  );
  scenario.routersRead([]);
  scenario.advance(2100);
  assert.equal(scenario.commandsOfType("register").length, 2);
});

test("an entry that does not appear in the store is written again after the retry delay", () => {
  const scenario = Scenario.create();
  scenario.routersRead([]);
  scenario.advance(6000);
  assert.equal(scenario.commandsOfType("register").length, 1);
  scenario.advance(2000);
  assert.equal(scenario.commandsOfType("register").length, 2);
});

test("the entry of an earlier process is renewed, not written again", () => {
  const scenario = Scenario.create();
  scenario.routersRead(["r1", "r2"]);
  scenario.advance(2100);
  assert.equal(scenario.commandsOfType("register").length, 0);
  assert.equal(scenario.commandsOfType("renewRegistration").length, 1);
});

// Load: a restored store lacks the entries of all routers of a large fleet.
test("330 routers write their entries again within the store's rates", () => {
  const scenarios = Array.from({ length: 330 }, (_, index) =>
    Scenario.create(undefined, index),
  );
  for (const scenario of scenarios) {
    scenario.routersRead(fleetOf(330));
    scenario.advance(2100);
    scenario.routersRead(fleetOf(330).slice(1));
  }
  const counts: number[] = [];
  for (let second = 0; second < 8; second += 1)
    counts.push(
      scenarios.filter((scenario) => {
        const before = scenario.commandsOfType("register").length;
        scenario.advance(1000);
        const hasWritten = scenario.commandsOfType("register").length > before;
        if (hasWritten) scenario.routersRead(fleetOf(330));
        return hasWritten;
      }).length,
    );
  // Half of a store's 400 writes a second, at two a registration.
  assert.ok(Math.max(...counts) <= 100, counts.join(" "));
});
