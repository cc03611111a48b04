import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { prefixBlockHashes } from "@cardamomglade/common/prefixBlockHashes";
import {
  BackEndType,
  CacheEventType,
  type BackEnd,
  type LoadReport,
} from "@cardamomglade/schema";
import {
  chooseBackEnd,
  changeInFlight,
  createRoutingState,
  recordCacheEvents,
  recordAttemptEnded,
  recordLoad,
  recordAttemptOpened,
  recordTokens,
  backEndViewOf,
  type RoutingState,
} from "./index.js";

const loaded = { model: "m", version: "v1" };

const backEnd = (index: number, zone = "a", region = "r"): BackEnd => ({
  name: `e${String(index)}`,
  type: BackEndType.Engine,
  url: `http://e${String(index)}`,
  host: `h${String(index)}`,
  zone,
  region,
  checksFencing: true,
  slots: 16,
});

const engines = Array.from({ length: 12 }, (_, index) => backEnd(index));

const report = (at: number, running: number, versions = [loaded]) => ({
  type: "report" as const,
  report: {
    at,
    running,
    queued: 0,
    slots: 16,
    loaded: versions,
  } satisfies LoadReport,
});

const create = (seed = 1, at = 100_000): RoutingState => {
  const state = createRoutingState({ type: "balanced" }, seed);
  state.at = at;
  return state;
};

const choose = (
  state: RoutingState,
  candidates: readonly BackEnd[],
  prompt = "",
): string | undefined =>
  chooseBackEnd(state, {
    candidates,
    avoid: [],
    zone: "a",
    region: "r",
    prompt,
    loaded,
  })?.name;

const fail = (state: RoutingState, name: string, id: string) => {
  recordAttemptOpened(
    state,
    { id, backEnd: name, model: "m", prompt: "" },
    state.at,
  );
  recordAttemptEnded(state, id, "failed", state.at);
};

test("sixteen routers with the same outdated load reports do not all choose the same engine", () => {
  const picks = new Map<string, number>();
  for (let router = 0; router < 16; router += 1) {
    const state = create(router);
    engines.forEach(({ name }, index) => {
      recordLoad(state, name, report(98_000, index === 3 ? 0 : 8), state.at);
    });
    for (let request = 0; request < 6; request += 1) {
      const chosen = choose(state, engines) ?? "";
      changeInFlight(state, chosen, 1);
      picks.set(chosen, (picks.get(chosen) ?? 0) + 1);
    }
  }
  const most = Math.max(...picks.values());
  assert.ok(most < (16 * 6) / 2, `one engine got ${String(most)} of 96`);
});

test("an outdated report counts requests of other routers once and own requests at their current number", () => {
  const state = create();
  for (let index = 0; index < 4; index += 1) changeInFlight(state, "e0", 1);
  state.at += 1000;
  for (let index = 0; index < 3; index += 1) changeInFlight(state, "e0", 1);
  recordLoad(state, "e0", report(state.at - 500, 10), state.at);
  assert.equal(backEndViewOf(state, "e0").ownInFlight, 7);
  assert.equal(backEndViewOf(state, "e0").lastReport?.othersInFlight, 6);
});

test("reports that are out of order, from the future or contradictory give no negative count", () => {
  const state = create();
  changeInFlight(state, "e0", 1);
  recordLoad(state, "e0", report(99_900, 5), state.at);
  recordLoad(state, "e0", report(99_000, 50), state.at);
  assert.equal(backEndViewOf(state, "e0").lastReport?.report.running, 5);
  recordLoad(state, "e0", report(state.at + 60_000, 0), state.at);
  assert.equal(backEndViewOf(state, "e0").lastReport?.othersInFlight, 0);
  assert.equal(backEndViewOf(state, "e0").ownInFlight, 1);
});

test("without load reports requests are spread by the own counts in flight", () => {
  const state = create();
  for (let request = 0; request < 120; request += 1)
    changeInFlight(state, choose(state, engines) ?? "", 1);
  const counts = engines.map(
    ({ name }) => backEndViewOf(state, name).ownInFlight,
  );
  assert.ok(Math.max(...counts) <= 16, counts.join(" "));
  assert.ok(Math.min(...counts) >= 5, counts.join(" "));
});

test("an engine gets no requests for a model version until it reports the version as loaded", () => {
  const state = create();
  const [one, two] = [backEnd(0), backEnd(1)];
  recordLoad(state, one.name, report(state.at, 0, []), state.at);
  recordLoad(state, two.name, report(state.at, 15), state.at);
  for (let turn = 0; turn < 20; turn += 1)
    assert.equal(choose(state, [one, two]), two.name);
  recordLoad(state, two.name, report(state.at + 1, 0, []), state.at + 1);
  state.at += 1;
  assert.equal(choose(state, [one, two]), undefined);
  recordLoad(state, one.name, report(state.at + 1, 0), state.at + 1);
  assert.equal(choose(state, [one, two]), one.name);
});

test("an engine that holds the prefix is preferred only up to the load bound", () => {
  const state = create();
  const prompt = "contract ".repeat(400);
  const blocks = prefixBlockHashes("m", prompt);
  const events = blocks.map((block, sequence) => ({
    sequence,
    type: CacheEventType.Stored,
    block,
  }));
  recordCacheEvents(state, "e5", { events, next: events.length }, state.at);
  assert.equal(choose(state, engines, prompt), "e5");
  engines.forEach(({ name }) => {
    const running = name === "e5" ? 15 : 4;
    recordLoad(state, name, report(state.at, running), state.at);
  });
  assert.notEqual(choose(state, engines, prompt), "e5");
});

test("a gap in cache events is recorded, and a restarted engine holds no earlier blocks", () => {
  const state = create();
  const [old = "", fresh = ""] = prefixBlockHashes("m", "x".repeat(600));
  const stored = (sequence: number, block: string) => ({
    sequence,
    type: CacheEventType.Stored,
    block,
  });
  recordCacheEvents(
    state,
    "e0",
    { events: [stored(0, old)], next: 1 },
    state.at,
  );
  const later = state.at + 100;
  recordCacheEvents(
    state,
    "e0",
    { events: [stored(5, fresh)], next: 6 },
    later,
  );
  const view = backEndViewOf(state, "e0");
  assert.equal(view.lastGapAt, later);
  recordCacheEvents(
    state,
    "e0",
    { events: [stored(0, fresh)], next: 1 },
    later + 1,
  );
  assert.equal(
    view.blocks.has(old),
    false,
    "a restarted engine holds no cached blocks",
  );
});

test("consecutive failures eject a back end, and its share grows back after the ejection", () => {
  const state = create();
  const pair = [backEnd(0), backEnd(1)];
  fail(state, "e0", "1");
  fail(state, "e0", "2");
  for (let turn = 0; turn < 20; turn += 1)
    assert.equal(choose(state, pair), "e1");
  state.at += 1500;
  const picks = { e0: 0, e1: 0 };
  for (let turn = 0; turn < 12; turn += 1) {
    const chosen = choose(state, pair) as "e0" | "e1";
    picks[chosen] += 1;
    changeInFlight(state, chosen, 1);
  }
  assert.ok(picks.e0 >= 1 && picks.e0 < picks.e1 / 2, JSON.stringify(picks));
  state.at += 20_000;
  for (let turn = 0; turn < 16; turn += 1)
    changeInFlight(state, choose(state, pair) ?? "", 1);
  const { ownInFlight } = backEndViewOf(state, "e0");
  assert.ok(ownInFlight >= 12, String(ownInFlight));
});

test("if all engines of a model are ejected one is still tried, and all are used after they return", () => {
  const state = create();
  engines.forEach(({ name }, index) => {
    fail(state, name, `a${String(index)}`);
    fail(state, name, `b${String(index)}`);
  });
  assert.notEqual(choose(state, engines), undefined, "no engine was tried");
  state.at += 60_000;
  const used = new Set<string | undefined>();
  for (let turn = 0; turn < 200; turn += 1) {
    const chosen = choose(state, engines) ?? "";
    changeInFlight(state, chosen, 1);
    used.add(chosen);
  }
  assert.equal(used.size, engines.length);
});

test("a slow engine gets no requests until its measured speed has decayed", () => {
  const state = create();
  const pair = [backEnd(0), backEnd(1)];
  for (const [name, paceMs] of [
    ["e0", 60],
    ["e1", 20],
  ] as const) {
    recordAttemptOpened(
      state,
      { id: name, backEnd: name, model: "m", prompt: "" },
      state.at,
    );
    for (let token = 0; token < 50; token += 1)
      recordTokens(state, name, 1, state.at + token * paceMs);
  }
  state.at += 3000;
  for (let turn = 0; turn < 12; turn += 1) {
    assert.equal(choose(state, pair), "e1");
    changeInFlight(state, "e1", 1);
  }
  state.at += 200_000;
  assert.equal(choose(state, pair), "e0");
});

test("requests go to another region only when the own region is full", () => {
  const state = create();
  const near = [backEnd(0, "a"), backEnd(1, "b")];
  const far = [backEnd(2, "d", "other")];
  for (let turn = 0; turn < 32; turn += 1) {
    const chosen = choose(state, [...near, ...far]) ?? "";
    assert.notEqual(chosen, "e2");
    changeInFlight(state, chosen, 1);
  }
  const spilled = Array.from({ length: 16 }, () => {
    const chosen = choose(state, [...near, ...far]) ?? "";
    changeInFlight(state, chosen, 1);
    return chosen;
  });
  assert.ok(spilled.includes("e2"));
});

test("any sequence of updates keeps counts non-negative and the choice among the candidates", () => {
  const step = fc.oneof(
    fc.record({
      type: fc.constant("count" as const),
      engine: fc.nat(3),
      change: fc.constantFrom(1 as const, -1 as const),
    }),
    fc.record({
      type: fc.constant("report" as const),
      engine: fc.nat(3),
      lateMs: fc.integer({ min: -2000, max: 20_000 }),
      running: fc.nat(40),
    }),
    fc.record({ type: fc.constant("fail" as const), engine: fc.nat(3) }),
    fc.record({ type: fc.constant("wait" as const), ms: fc.nat(5000) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const state = create();
      const four = engines.slice(0, 4);
      steps.forEach((one, index) => {
        if (one.type === "wait") state.at += one.ms;
        else if (one.type === "fail")
          fail(state, `e${String(one.engine)}`, String(index));
        else if (one.type === "count")
          changeInFlight(state, `e${String(one.engine)}`, one.change);
        else {
          const update = report(state.at - one.lateMs, one.running);
          recordLoad(state, `e${String(one.engine)}`, update, state.at);
        }
        const chosen = choose(state, four);
        assert.ok(four.some(({ name }) => name === chosen));
      });
      for (const { ownInFlight, lastReport } of state.backEnds.values())
        assert.ok(ownInFlight >= 0 && (lastReport?.othersInFlight ?? 0) >= 0);
    }),
    { seed: 11, numRuns: 300 },
  );
});
