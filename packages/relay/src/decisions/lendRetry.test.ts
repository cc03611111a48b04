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

/** Routers that exchange messages without delay. */
const createFleet = (size: number): Scenario[] =>
  fleetNames(size).map((name, index) => {
    const scenario = Scenario.create(undefined, index, name);
    scenario.routersRead(fleetNames(size));
    return scenario;
  });

/** Delivers lending messages between routers until there are none left. */
const deliverMessages = (
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
    deliverMessages(
      fleet,
      to,
      to.dispatch({ type, at: to.at, from: address, service }),
    );
  }
};

const loseAttempt = (
  fleet: readonly Scenario[],
  router: Scenario,
  key: string,
) => {
  const { attempt } = router.lastSend(key);
  deliverMessages(fleet, router, router.failAttempt(key, attempt.number));
};

const sendCount = (fleet: readonly Scenario[]): number =>
  fleet.reduce((sum, router) => sum + router.commandsOfType("send").length, 0);

test("a router that loses more streams than its retry budget covers borrows retries from other routers", () => {
  const fleet = createFleet(50);
  const [hit] = fleet;
  assert.ok(hit);
  for (let index = 0; index < 12; index += 1)
    hit.request(String(index), streamPath);
  // Its own budget: 0.8 times 12 first attempts, and 3 of the 150 additional retries.
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

test("a fleet that repeatedly loses all streams stays within the fleet-wide retry budget", () => {
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

test("a request for which no router lends a retry fails after the last borrowing round", () => {
  const scenario = Scenario.create();
  scenario.routersRead(fleetNames(150));
  scenario.request("1", streamPath);
  for (const attempt of [0, 1]) scenario.failAttempt("1", attempt);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 2);
  scenario.advance(400);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 8);
  assert.equal(scenario.commandsOfType("refuse").length, 1);
});

test("a stream whose KV cache copy becomes usable while it waits for a retry is sent only once", () => {
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

test("lending messages from unknown addresses are ignored", () => {
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

test("a router without an address does not borrow retries", () => {
  const scenario = Scenario.create();
  Object.assign(scenario.state, { address: undefined });
  scenario.routersRead(fleetNames(150));
  scenario.request("1", streamPath);
  for (const attempt of [0, 1]) scenario.failAttempt("1", attempt);
  assert.equal(scenario.commandsOfType("borrowRetry").length, 0);
  assert.equal(scenario.commandsOfType("refuse").length, 1);
});
