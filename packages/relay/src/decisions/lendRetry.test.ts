import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  routerAddress,
  Scenario,
  streamPath,
} from "../testing/scenario.js";
import { takeRetry } from "./retryBudget.js";
import type { RelayCommand } from "./commands.js";

const fleetNames = (size: number): string[] =>
  Array.from({ length: size }, (_, index) => `r${String(index + 1)}`);

/** Routers that hear each other at once. */
const createFleet = (size: number): Scenario[] =>
  fleetNames(size).map((name, index) => {
    const scenario = Scenario.create(undefined, index, name);
    scenario.routersRead(fleetNames(size));
    return scenario;
  });

/** Carries what routers say to each other, until nothing is said. */
const carry = (
  fleet: readonly Scenario[],
  from: Scenario,
  commands: readonly RelayCommand[],
): void => {
  for (const command of commands) {
    if (command.type !== "borrowRetry" && command.type !== "lendRetry")
      continue;
    const to = fleet[command.to.port - 1];
    const { address } = from.state;
    assert.ok(to && address);
    const type =
      command.type === "borrowRetry" ? "retryRequested" : "retryLent";
    const { service } = command;
    carry(fleet, to, to.dispatch({ type, at: to.at, from: address, service }));
  }
};

const loseAttempt = (
  fleet: readonly Scenario[],
  router: Scenario,
  key: string,
) => {
  const { attempt } = router.lastSend(key);
  carry(fleet, router, router.failAttempt(key, attempt.number));
};

const sendCount = (fleet: readonly Scenario[]): number =>
  fleet.reduce((sum, router) => sum + router.commandsOfType("send").length, 0);

test("a router that loses more streams than its part goes on with what others spare", () => {
  const fleet = createFleet(50);
  const [hit] = fleet;
  assert.ok(hit);
  for (let index = 0; index < 12; index += 1)
    hit.request(String(index), streamPath);
  // Its own part: 0.8 of 12 first sendings and 3 of the extra 150.
  for (let round = 0; round < 2; round += 1)
    for (let index = 0; index < 12; index += 1)
      loseAttempt(fleet, hit, String(index));
  assert.equal(
    hit.commandsOfType("abortStream").length +
      hit.commandsOfType("refuse").length,
    0,
  );
  assert.equal(hit.commandsOfType("send").length, 36);
});

test("a fleet that loses everything again and again stays within its budget", () => {
  const fleet = createFleet(30);
  for (const router of fleet)
    for (const key of ["1", "2"]) router.request(key, streamPath);
  const firstAttempts = sendCount(fleet);
  for (let round = 0; round < 4; round += 1)
    for (const router of fleet)
      for (const key of ["1", "2"]) loseAttempt(fleet, router, key);
  const retries = sendCount(fleet) - firstAttempts;
  assert.ok(retries <= 0.8 * firstAttempts + 150);
  assert.ok(retries > 0.8 * (0.8 * firstAttempts + 150));
});

test("a request for which nobody lends a repeat is given up in time", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetNames(150));
  scenario.request("1", streamPath);
  for (const attempt of [0, 1]) scenario.failAttempt("1", attempt);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 2);
  scenario.advance(400);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 8);
  assert.equal(scenario.commandsOfType("refuse").length, 1);
});

test("a stream whose copy becomes usable while it waits for a repeat is sent once", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetNames(150));
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  const { copyTo, replica } = scenario.lastSend("1").attempt;
  const holder = scenario.state.replicas.get(copyTo?.id ?? "");
  assert.ok(copyTo && holder);
  holder.suspectUntil = scenario.at + 30;
  while (takeRetry(scenario.state, engines, scenario.at));
  scenario.failAttempt("1", 0);
  assert.equal(scenario.lastSend("1").attempt.replica.id, replica.id);
  scenario.advance(400);
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
  assert.equal(scenario.commandsOfType("send").length, 2);
  assert.equal(scenario.lastSend("1").attempt.replica.id, copyTo.id);
});

test("strangers get nothing and give nothing", () => {
  const scenario = Scenario.create();
  scenario.routersRead(["r1", "r2"]);
  const from = { ...routerAddress("r2"), host: "10.9.9.9" };
  const { at } = scenario;
  scenario.dispatch({ type: "retryRequested", at, from, service: engines });
  scenario.dispatch({ type: "retryLent", at, from, service: engines });
  assert.equal(scenario.commandsOfType("lendRetry").length, 0);
  assert.equal(
    scenario.state.retryBudgets.get(engines)?.borrowed.length ?? 0,
    0,
  );
});

test("a router without an address of its own asks nobody", () => {
  const scenario = Scenario.create();
  Object.assign(scenario.state, { address: undefined });
  scenario.routersRead(fleetNames(150));
  scenario.request("1", streamPath);
  for (const attempt of [0, 1]) scenario.failAttempt("1", attempt);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 0);
  assert.equal(scenario.commandsOfType("refuse").length, 1);
});
