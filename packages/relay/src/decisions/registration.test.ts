import assert from "node:assert/strict";
import { test } from "node:test";
import { engines, Scenario } from "../testing/scenario.js";
import { hasRepeat, takeRepeat } from "./retryBudget.js";

const fleetOf = (size: number): string[] =>
  Array.from({ length: size }, (_, index) => `r${String(index + 1)}`);

/** Repeats without any first sending that one router may send at once. */
const repeatsOf = ({ state }: Scenario): number => {
  let count = 0;
  while (takeRepeat(state, engines, state.at)) count += 1;
  return count;
};

test("sixty routers that lose streams at once stay within the fleet's extra repeats", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetOf(60));
  assert.ok(60 * repeatsOf(scenario) <= 150);
});

test("two routers share the extra repeats in halves", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetOf(2));
  assert.equal(repeatsOf(scenario), 75);
});

test("a router without an entry of its own takes no more than an eighth", () => {
  const scenario = Scenario.create();
  scenario.routersRead(["r2"]);
  assert.equal(repeatsOf(scenario), 18);
  scenario.wait(10_100);
  assert.ok(hasRepeat(scenario.state, engines, scenario.at));
});

test("a router writes its entry once, renews it, and writes it again when it has lapsed", () => {
  const scenario = Scenario.create();
  assert.deepEqual(scenario.routersRead([]), []);
  scenario.wait(2100);
  assert.equal(scenario.of("register").length, 1);
  scenario.routersRead(["r1"]);
  scenario.wait(199_000);
  assert.equal(scenario.of("renewRegistration").length, 0);
  scenario.wait(2000);
  assert.deepEqual(
    scenario.of("renewRegistration").map(({ lease }) => lease),
    ["l-r1"],
  );
  scenario.routersRead([]);
  scenario.wait(2100);
  assert.equal(scenario.of("register").length, 2);
});

test("an entry that does not appear is written again after a while", () => {
  const scenario = Scenario.create();
  scenario.routersRead([]);
  scenario.wait(6000);
  assert.equal(scenario.of("register").length, 1);
  scenario.wait(2000);
  assert.equal(scenario.of("register").length, 2);
});

test("the entry of a former process is renewed, not written again", () => {
  const scenario = Scenario.create();
  scenario.routersRead(["r1", "r2"]);
  scenario.wait(2100);
  assert.equal(scenario.of("register").length, 0);
  assert.equal(scenario.of("renewRegistration").length, 1);
});
