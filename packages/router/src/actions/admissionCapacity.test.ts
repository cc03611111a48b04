import assert from "node:assert/strict";
import { test } from "node:test";
import { applyConfig, recordLoad } from "@cardamomglade/decisions";
import { BackEndType, type Deployment } from "@cardamomglade/schema";
import { createRouterState } from "../decide.js";
import { capacityOf } from "./admissionCapacity.js";

const at = 1000;
const backEnd = {
  name: "one",
  type: BackEndType.Engine,
  url: "http://one",
  host: "h1",
  zone: "a",
  region: "r",
  checksFencing: true,
  slots: 16,
};
const deploymentOf = (version: string): Deployment => ({
  name: "d",
  model: "m",
  version,
  backEnds: ["one"],
  customers: ["stall"],
  recovery: { type: "latencyFirst", hedge: true },
});

test("capacity is that of the version served until the intended one is loaded", () => {
  const router = { name: "r1", host: "h", zone: "a", region: "r" };
  const initial = createRouterState(router);
  const config = applyConfig(initial.config, {
    revision: 2,
    intent: {
      customers: [],
      models: [],
      backEnds: [backEnd],
      deployments: [deploymentOf("v2")],
      services: [],
      leaving: [],
    },
    serving: [deploymentOf("v1")],
  });
  const state = { ...initial, config };
  state.routing.at = at;
  const loaded = [{ model: "m", version: "v1" }];
  const report = { at, running: 0, queued: 0, slots: 16, loaded };
  recordLoad(state.routing, "one", { type: "report", report }, at);
  assert.equal(capacityOf(state, at).hasFreeSlot("d"), true);
});
