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
import { createFakeKeyValue, type WriteFate } from "../testing/fakeKeyValue.js";
import { createConfirmRoute } from "./confirmRoute.js";
import { createPlanRoutes } from "./planRoutes.js";
import type { AdministrationAnswer, AdministrationRoute } from "./types.js";

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

const weighted = (stall: number, school: number): Intent => ({
  ...intent,
  customers: [customer("stall", stall), customer("school", school)],
});

const createOperators = (fates: WriteFate[] = []) => {
  const fake = createFakeKeyValue(fates);
  fake.put(
    "/config/current",
    formatConfigRecord({ revision: 1, intent, serving: [] }),
  );
  fake.put(
    "/config/history/000000001",
    formatConfigRecord({ revision: 1, intent, serving: [] }),
  );
  const world = {
    loaded: new Set(["http://a", "http://b"]),
  };
  const engines = {
    readLoad: (url: string) =>
      Promise.resolve({
        at: 0,
        running: 0,
        queued: 0,
        slots: 8,
        loaded: world.loaded.has(url) ? [{ model: "m", version: "v" }] : [],
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
  ): Promise<AdministrationAnswer> => {
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
  return { post, plan, confirm, store, world, fake };
};

interface Race {
  readonly error: { readonly type: string };
  readonly yours: { readonly differences: object[] };
  readonly theirs: { readonly by: string; readonly differences: object[] };
  readonly fresh: Plan;
}

const changed = (name: string) => [
  { type: "changed", pointer: `/customers/${name}` },
];

test("of operators racing on different parts the second sees both sides and confirms a fresh plan", async () => {
  const { plan, confirm } = createOperators();
  const first = await plan(weighted(2, 1));
  const second = await plan(weighted(1, 3));
  assert.equal((await confirm(first, "ada")).status, 200);
  const raced = await confirm(second, "bob");
  const race = raced.body as Race;
  assert.equal(raced.status, 409);
  assert.equal(race.theirs.by, "ada");
  assert.deepEqual(race.theirs.differences, changed("stall"));
  assert.deepEqual(race.yours.differences, changed("school"));
  const fresh = await confirm(race.fresh, "bob");
  assert.deepEqual(fresh.body, { revision: 3, isEarlier: false });
});

test("of operators racing on the same part at one moment exactly one is confirmed", async () => {
  const { plan, confirm, fake } = createOperators(["lost", "dropped"]);
  const plans = [await plan(weighted(2, 1)), await plan(weighted(3, 1))];
  const before = fake.writes();
  const answers = await Promise.all(
    plans.map((one, index) => confirm(one, `operator-${String(index)}`)),
  );
  const statuses = answers.map(({ status }) => status).sort();
  assert.deepEqual(statuses, [200, 409]);
  assert.equal(fake.writes() - before, 1);
});

test("a plan confirmed again is found, not written again", async () => {
  const { plan, confirm, fake } = createOperators();
  const made = await plan(weighted(2, 1));
  await confirm(made, "ada");
  const before = fake.writes();
  const again = await confirm(made, "bob");
  assert.deepEqual(again.body, { revision: 2, isEarlier: true });
  assert.equal(fake.writes(), before);
});

test("a plan for a world that has changed is refused and changes nothing", async () => {
  const { plan, confirm, world, fake } = createOperators();
  const made = await plan(weighted(2, 1));
  world.loaded.delete("http://b");
  const before = fake.writes();
  const refused = await confirm(made, "ada");
  assert.equal(refused.status, 409);
  assert.equal(fake.writes(), before);
});

test("planning, draining and undoing change nothing; undo goes forward to the intent before", async () => {
  const { post, plan, confirm, fake, store } = createOperators();
  await confirm(await plan(weighted(2, 1)), "ada");
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
