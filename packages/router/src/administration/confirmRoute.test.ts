import assert from "node:assert/strict";
import { test } from "node:test";
import { formatConfigRecord } from "@cardamomglade/decisions";
import {
  BackEndType,
  Priority,
  type Customer,
  type Intent,
  type Plan,
} from "@cardamomglade/schema";
import type { Engines } from "@cardamomglade/upstream";
import { ConfigStore } from "../configuration/configStore.js";
import {
  createFakeKeyValue,
  type WriteOutcome,
} from "../testing/fakeKeyValue.js";
import { createConfirmRoute } from "./confirmRoute.js";
import { createPlanRoutes } from "./planRoutes.js";
import type { AdministrationResponse, AdministrationRoute } from "./types.js";

const customer = (name: string, weight: number): Customer => ({
  name,
  keyHashes: [],
  priority: Priority.Standard,
  weight,
  limits: { concurrent: 1, tokensPerSecond: 1 },
});

const intent: Intent = {
  customers: [customer("stall", 1), customer("school", 1)],
  models: [{ name: "m", versions: [{ version: "v", weightBytes: 1 }] }],
  backEnds: ["a", "b"].map((name) => ({
    name,
    type: BackEndType.Engine,
    url: `http://${name}`,
    host: `host-${name}`,
    zone: "z",
    region: "r",
    checksFencing: true,
    slots: 8,
  })),
  deployments: [
    {
      name: "d",
      model: "m",
      version: "v",
      backEnds: ["a", "b"],
      customers: ["stall"],
      recovery: { type: "latencyFirst", hedge: true },
    },
  ],
  services: [],
  leaving: [],
};

const intentWithWeights = (stall: number, school: number): Intent => ({
  ...intent,
  customers: [customer("stall", stall), customer("school", school)],
});

const createTestApi = (writeOutcomes: WriteOutcome[] = []) => {
  const fake = createFakeKeyValue(writeOutcomes);
  fake.put(
    "/config/current",
    formatConfigRecord({ revision: 1, intent, serving: [] }),
  );
  fake.put(
    "/config/history/000000001",
    formatConfigRecord({ revision: 1, intent, serving: [] }),
  );
  const engineState = {
    loaded: new Set(["http://a", "http://b"]),
  };
  const engines = {
    readLoad: (url: string) =>
      Promise.resolve({
        at: 0,
        running: 0,
        queued: 0,
        slots: 8,
        loaded: engineState.loaded.has(url)
          ? [{ model: "m", version: "v" }]
          : [],
      }),
  } as unknown as Engines;
  const store = ConfigStore.create(fake.keyValue, "/");
  const options = { store, engines, weightStoreUrl: undefined };
  const routes: AdministrationRoute[] = [
    ...createPlanRoutes(options),
    createConfirmRoute(options),
  ];
  const post = async (
    path: string,
    body: object,
    operator = "ada",
  ): Promise<AdministrationResponse> => {
    const route = routes.find((one) => one.path === path);
    assert.ok(route !== undefined);
    return route.handle({
      req: {} as never,
      query: new URLSearchParams(),
      body: JSON.stringify(body),
      operator,
    });
  };
  const plan = async (target: Intent) =>
    (await post("/plan", { intent: target })).body as Plan;
  const confirm = (
    { digest, baseRevision, intent: target }: Plan,
    operator: string,
  ) =>
    post(
      "/confirm",
      { digest, baseRevision, intent: target, why: "w" },
      operator,
    );
  return { post, plan, confirm, store, engineState, fake };
};

interface ConflictBody {
  readonly error: { readonly type: string };
  readonly yours: { readonly differences: object[] };
  readonly theirs: { readonly by: string; readonly differences: object[] };
  readonly fresh: Plan;
}

const changedCustomer = (name: string) => [
  { type: "changed", pointer: `/customers/${name}` },
];

test("if two operators change different parts, the second gets both sets of changes and can confirm a fresh plan", async () => {
  const { plan, confirm } = createTestApi();
  const first = await plan(intentWithWeights(2, 1));
  const second = await plan(intentWithWeights(1, 3));
  assert.equal((await confirm(first, "ada")).status, 200);
  const conflictResponse = await confirm(second, "bob");
  const conflict = conflictResponse.body as ConflictBody;
  assert.equal(conflictResponse.status, 409);
  assert.equal(conflict.theirs.by, "ada");
  assert.deepEqual(conflict.theirs.differences, changedCustomer("stall"));
  assert.deepEqual(conflict.yours.differences, changedCustomer("school"));
  const fresh = await confirm(conflict.fresh, "bob");
  assert.deepEqual(fresh.body, { revision: 3, isEarlier: false });
});

test("if two operators change the same part at the same time, exactly one is confirmed", async () => {
  const { plan, confirm, fake } = createTestApi(["lost", "dropped"]);
  const plans = [
    await plan(intentWithWeights(2, 1)),
    await plan(intentWithWeights(3, 1)),
  ];
  const before = fake.writes();
  const responses = await Promise.all(
    plans.map((one, index) => confirm(one, `operator-${String(index)}`)),
  );
  const statuses = responses.map(({ status }) => status).sort();
  assert.deepEqual(statuses, [200, 409]);
  assert.equal(fake.writes() - before, 1);
});

test("confirming a plan a second time returns its revision and writes nothing", async () => {
  const { plan, confirm, fake } = createTestApi();
  const createdPlan = await plan(intentWithWeights(2, 1));
  await confirm(createdPlan, "ada");
  const before = fake.writes();
  const secondResponse = await confirm(createdPlan, "bob");
  assert.deepEqual(secondResponse.body, { revision: 2, isEarlier: true });
  assert.equal(fake.writes(), before);
});

test("a plan is rejected and nothing is written if the engines' state has changed since it was made", async () => {
  const { plan, confirm, engineState, fake } = createTestApi();
  const createdPlan = await plan(intentWithWeights(2, 1));
  engineState.loaded.delete("http://b");
  const before = fake.writes();
  const refused = await confirm(createdPlan, "ada");
  assert.equal(refused.status, 409);
  assert.equal(fake.writes(), before);
});

test("plan, drain and undo requests write nothing; a confirmed undo creates a new revision with the previous intent", async () => {
  const { post, plan, confirm, fake, store } = createTestApi();
  await confirm(await plan(intentWithWeights(2, 1)), "ada");
  const before = fake.writes();
  const drain = await post("/drain", {
    host: "host-a",
    emptyBy: "2099-01-01T00:00:00Z",
  });
  const undo = (await post("/undo", {})).body as Plan;
  assert.equal(drain.status, 200);
  assert.equal(fake.writes(), before);
  assert.deepEqual((await confirm(undo, "bob")).body, {
    revision: 3,
    isEarlier: false,
  });
  const read = await store.read(Number.MAX_SAFE_INTEGER);
  assert.equal(read.type === "ok" && read.value.config?.revision, 3);
  assert.deepEqual(
    read.type === "ok" && read.value.config?.intent.customers,
    intent.customers,
  );
});
