import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, testConfig } from "../../testing/scenario.js";
import type { RelayState } from "../types.js";
import { maxAdoption } from "./constants.js";
import { noteModels, serviceOfModels } from "./modelServices.js";

/** Configures services with the given models. */
const configure = (
  state: RelayState,
  models: Readonly<Record<string, readonly string[]>>,
): void => {
  const services = Object.entries(models).map(([name, modelNames]) => ({
    name,
    engine: { canCopyKvCache: true, canStopRuns: true, modelNames },
  }));
  noteModels(state, { ...testConfig(), services });
};

/** Models of a number that is remembered at most. */
const manyModels = Array.from(
  { length: maxAdoption.models },
  (_, index) => `m-${String(index)}`,
);

// Load: configurations name ever new models, and one that two services had goes to one of them.
test("a model that two services had proves one of them after many others", () => {
  const { state } = Scenario.createEmpty();
  configure(state, { drafts: ["shared"], reviews: ["shared"] });
  configure(state, { drafts: manyModels });
  configure(state, { drafts: ["shared"] });
  assert.equal(serviceOfModels(state, ["shared"]), undefined);
});

test("a model that another service had proves the later one after many others", () => {
  const { state } = Scenario.createEmpty();
  configure(state, { drafts: ["moved"] });
  configure(state, { drafts: manyModels });
  configure(state, { reviews: ["moved"] });
  assert.equal(serviceOfModels(state, ["moved"]), undefined);
});

test("models are remembered without bound, or prove nothing while they are few", () => {
  const { state } = Scenario.createEmpty();
  configure(state, { drafts: manyModels });
  configure(state, { reviews: ["late"] });
  assert.equal(state.adoption.servicesByModel.size, maxAdoption.models);
  assert.equal(serviceOfModels(state, ["late"]), undefined);
  assert.equal(serviceOfModels(state, ["m-0", "m-9"]), "drafts");
});
