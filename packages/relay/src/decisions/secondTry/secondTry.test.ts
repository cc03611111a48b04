/** When a second try is sent, which answer is delivered, and when none is sent. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  idempotentPath,
  nonIdempotentPath,
  plainService,
  testConfig,
  testReplica,
} from "../../testing/scenario.js";
import { TimedReplicas, type TimedRun } from "../../testing/timedReplicas.js";
import { RequestKind, type Route } from "../../types.js";
import { bucketOf } from "../serviceTimes/histogram.js";
import { AttemptFailure, type RelayState } from "../types.js";
import { maxStoreSilenceMs, shareWindowMs } from "./constants.js";

const usualMs = 20;
const share = 0.05;
const warmUpCount = 1200;
const intervalMs = 5;
const withinMs = 80; // the delay and some ticks; long before an answer is overdue
const overdueMs = 450;
const never = 100_000;

type AnswerMs = (run: TimedRun) => number | undefined;

/** Replicas that answer alike until the test says otherwise. */
const createWarm = (usedShare = share) => {
  const times: { answerMs: AnswerMs } = { answerMs: () => usualMs };
  const replicas = TimedReplicas.create({
    replicaCount: 3,
    share: usedShare,
    answerMs: (run) => times.answerMs(run),
  });
  replicas.run(warmUpCount, intervalMs);
  const { scenario, clock } = replicas;
  const sendsOf = (key: string) =>
    scenario.commandsOfType("send").filter((one) => one.key === key);
  const advance = (ms: number) => {
    clock.advanceTo(clock.now() + ms);
  };
  /** Sends a request whose first attempt is not answered, and waits. */
  const requestSlow = (target = idempotentPath, ms = withinMs): string => {
    times.answerMs = () => never;
    const key = replicas.request(target);
    advance(ms);
    return key;
  };
  return { replicas, scenario, times, sendsOf, advance, requestSlow };
};

/** The same without the requests that come before. */
const createQuiet = () => {
  const times: { answerMs: AnswerMs } = { answerMs: () => usualMs };
  const replicas = TimedReplicas.create({
    replicaCount: 3,
    share,
    answerMs: (run) => times.answerMs(run),
  });
  const { scenario, clock } = replicas;
  return { scenario, clock, times, request: () => replicas.request() };
};

type Warm = ReturnType<typeof createWarm>;

const answerOf = (warm: Warm, key: string, index: number, status = 200) => {
  const { scenario, sendsOf } = warm;
  const attempt = sendsOf(key)[index]?.attempt.number ?? -1;
  scenario.at = warm.replicas.clock.now();
  scenario.answerAttempt(key, attempt, {
    status,
    isNotExecuted: status === 503,
  });
};

const abandonedOf = ({ scenario }: Warm, key: string) =>
  scenario
    .commandsOfType("abandon")
    .filter((one) => one.key === key)
    .map(({ attempt }) => attempt);

const deliveredOf = ({ scenario }: Warm, key: string) =>
  scenario.commandsOfType("deliverResponse").filter((one) => one.key === key);

test("an answer that is slow has a second try at another replica, with the same deadline", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  const [first, second] = warm.sendsOf(key);
  assert.ok(first !== undefined && second !== undefined);
  assert.notEqual(second.attempt.replica.id, first.attempt.replica.id);
  assert.equal(second.deadline, first.deadline);
  assert.ok(second.attempt.sentAt - first.attempt.sentAt >= usualMs);
  assert.equal(warm.scenario.state.secondTries.sentCount, 1);
});

test("without a share there is no second try, and nothing is remembered", () => {
  const warm = createWarm(0);
  const key = warm.requestSlow();
  assert.equal(warm.sendsOf(key).length, 1);
  const { times, services } = warm.scenario.state.secondTries;
  assert.equal(times.size + services.size, 0);
});

test("the answer of the second try is delivered, and the first connection is closed at once", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  answerOf(warm, key, 1);
  assert.equal(deliveredOf(warm, key).length, 1);
  assert.deepEqual(abandonedOf(warm, key), [0]);
  const { wonCount, wastedMs } = warm.scenario.state.secondTries;
  assert.equal(wonCount, 1);
  assert.ok(wastedMs >= usualMs);
});

test("the answer of the first attempt is delivered, and the second connection is closed at once", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  answerOf(warm, key, 0);
  assert.equal(deliveredOf(warm, key).length, 1);
  assert.deepEqual(abandonedOf(warm, key), [1]);
  assert.equal(warm.scenario.state.secondTries.wonCount, 0);
});

test("both attempts stay open until one answers, as the second may take long too", () => {
  const warm = createWarm();
  const key = warm.requestSlow(idempotentPath, 300);
  assert.deepEqual(abandonedOf(warm, key), []);
  assert.equal(warm.sendsOf(key).length, 2);
});

for (const status of [503, 500])
  test(`a second try that ends with ${String(status)} leaves the first attempt as it is`, () => {
    const warm = createWarm();
    const key = warm.requestSlow();
    answerOf(warm, key, 1, status);
    warm.advance(100);
    assert.equal(warm.sendsOf(key).length, 2);
    answerOf(warm, key, 0);
    const [delivered] = deliveredOf(warm, key);
    assert.equal(delivered?.answer.head.status, 200);
  });

test("a second try that breaks leaves the first attempt as it is", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  warm.scenario.failAttempt(key, 1, AttemptFailure.Broken);
  answerOf(warm, key, 0);
  assert.equal(deliveredOf(warm, key).length, 1);
});

test("a first attempt that breaks leaves the second try as it is", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  warm.scenario.failAttempt(key, 0, AttemptFailure.Broken);
  answerOf(warm, key, 1);
  assert.equal(deliveredOf(warm, key).length, 1);
});

test("an overdue answer is asked for again after a refused second try, as without one", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  answerOf(warm, key, 1, 503);
  warm.advance(overdueMs);
  assert.equal(warm.sendsOf(key).length, 3);
});

test("a request that runs once only has no second try", () => {
  const warm = createWarm();
  assert.equal(warm.sendsOf(warm.requestSlow(nonIdempotentPath)).length, 1);
});

const changeRoute = ({ scenario }: Warm, changes: Partial<Route>): void => {
  const config = testConfig(2);
  const routes = config.routes.map((route) =>
    idempotentPath.startsWith(route.prefix) ? { ...route, ...changes } : route,
  );
  const { at } = scenario;
  scenario.dispatch({ type: "configRead", at, config: { ...config, routes } });
};

test("a stream has no second try", () => {
  const warm = createWarm();
  changeRoute(warm, { kind: RequestKind.Streaming });
  assert.equal(warm.sendsOf(warm.requestSlow()).length, 1);
});

test("a second try counts against the attempts of the route", () => {
  const warm = createWarm();
  changeRoute(warm, { maxAttempts: 1 });
  assert.equal(warm.sendsOf(warm.requestSlow()).length, 1);
});

test("second tries stay within the share of the requests in any minute", () => {
  const smallShare = 0.002;
  const warm = createWarm(smallShare);
  const { replicas, scenario } = warm;
  const isSlow = ({ index }: TimedRun) => index % 200 === 0;
  warm.times.answerMs = (run) => (isSlow(run) ? 150 : usualMs);
  const { runCount, requestCount } = replicas.run(20_000, intervalMs);
  assert.ok(runCount > requestCount);
  const at = scenario.commandsOfType("send").map(({ attempt }) => ({
    sentAt: attempt.sentAt,
    isSecond: attempt.number > 0,
  }));
  const seconds = at.filter(({ isSecond }) => isSecond);
  for (const { sentAt } of seconds) {
    const inWindow = (one: { readonly sentAt: number }) =>
      one.sentAt > sentAt - shareWindowMs && one.sentAt <= sentAt;
    const firsts = at.filter((one) => !one.isSecond && inWindow(one)).length;
    assert.ok(seconds.filter(inWindow).length <= smallShare * firsts);
  }
});

test("second tries leave the shared budget of repeats to lost attempts", () => {
  const warm = createWarm();
  const { state } = warm.scenario;
  const retryLimits = { ratio: 0, extraRetryCount: 0, windowMs: 10_000 };
  state.runtimeLimits = { ...state.runtimeLimits, retryLimits };
  assert.equal(warm.sendsOf(warm.requestSlow()).length, 1);
});

test("a second try is in the shared budget of repeats", () => {
  const warm = createWarm();
  const countOf = () =>
    warm.scenario.state.retryBudgets.get(plainService)?.retries.length;
  const before = countOf() ?? 0;
  warm.requestSlow();
  assert.equal(countOf(), before + 1);
});

const shutOffs: Record<string, (warm: Warm, state: RelayState) => void> = {
  "full replicas refuse": ({ replicas, times }) => {
    times.answerMs = ({ index }) => (index % 2 === 0 ? undefined : usualMs);
    replicas.run(100, intervalMs, undefined, 0);
  },
  "all answers take longer than they did": ({ replicas, times }) => {
    times.answerMs = () => 2 * usualMs;
    replicas.run(100, intervalMs, undefined, 0);
  },
  "most replicas are gone": ({ scenario }) => {
    const left = [testReplica("a-0", plainService)];
    const { at } = scenario;
    scenario.dispatch({ type: "replicasRead", at, replicas: left });
  },
  "this process stops": ({ scenario }) => {
    const { at } = scenario;
    const noticeEndsAt = at + 1000;
    const endsAt = at + 7400;
    scenario.dispatch({ type: "drainStarted", at, noticeEndsAt, endsAt });
  },
  "the store says nothing": ({ replicas, advance }, state) => {
    replicas.isStoreSilent = true;
    advance(maxStoreSilenceMs);
    assert.equal(state.store.type, "available");
  },
  "this process is late itself": (_, state) => {
    state.handover.busyUntil = Infinity;
  },
  "no path leads to the replicas": (_, state) => {
    const path = state.paths.get(plainService);
    assert.ok(path !== undefined);
    path.connectedAt = -Infinity;
    for (const view of state.replicas.values()) view.suspectUntil = Infinity;
  },
};

for (const [name, begin] of Object.entries(shutOffs))
  test(`there is no second try while ${name}`, () => {
    const warm = createWarm();
    begin(warm, warm.scenario.state);
    const before = warm.scenario.state.secondTries.sentCount;
    warm.requestSlow();
    assert.equal(warm.scenario.state.secondTries.sentCount, before);
  });

test("there is no second try where the other replicas are no faster", () => {
  const warm = createWarm();
  const { state } = warm.scenario;
  const key = warm.requestSlow(idempotentPath, 0);
  const firstId = warm.sendsOf(key)[0]?.attempt.replica.id;
  for (const { byReplica } of state.secondTries.times.values())
    for (const { id } of [...state.replicas.values()].map((one) => one.replica))
      if (id !== firstId)
        byReplica.set(
          id,
          Array.from({ length: 3 }, () => ({ at: state.at, ms: overdueMs })),
        );
  warm.advance(withinMs);
  assert.equal(warm.sendsOf(key).length, 1);
});

// Load: twice as many requests as the replicas can take; each answer takes as long as the queue is.
test("second tries do not add to a burst", () => {
  const warm = createWarm();
  const { replicas, scenario, times } = warm;
  const begun = replicas.clock.now();
  times.answerMs = ({ at }) => usualMs + (at - begun) / 2;
  const before = scenario.state.secondTries.sentCount;
  const { requestCount } = replicas.run(1000, 1);
  const sent = scenario.state.secondTries.sentCount - before;
  assert.ok(sent <= 0.01 * requestCount, String(sent));
});

// Load: a zone, or all replicas, stand still; nothing has been answered that would show it.
test("there is no second try while slow answers are out at most replicas", () => {
  const warm = createWarm();
  const { replicas, scenario, times } = warm;
  times.answerMs = () => never;
  for (let index = 0; index < 9; index += 1) replicas.request();
  warm.advance(withinMs);
  assert.equal(scenario.state.secondTries.sentCount, 0);
});

test("the lines of a request say when its second try was sent and what became of it", () => {
  const warm = createWarm();
  const key = warm.requestSlow();
  answerOf(warm, key, 1);
  const contextOf = (message: string) =>
    warm.scenario
      .commandsOfType("log")
      .filter((one) => one.message === message)
      .map(({ context }) => context)
      .find(({ requestId }) => requestId === `id-${key}`);
  assert.equal(contextOf("second try sent")?.successor, 1);
  const answered = contextOf("request answered");
  assert.equal(answered?.secondTry, "won");
  assert.ok(Number(answered.wastedMs) >= usualMs);
});

// Load: a fleet so large that each router gets an answer in two seconds.
test("a router with few answers of its own goes by those that others tell of", () => {
  const { scenario, clock, ...replicas } = createQuiet();
  const tell = () => {
    const times = [
      {
        timeClass: "answers of /check/",
        buckets: [{ bucket: bucketOf(usualMs), count: 20 }],
      },
    ];
    const outcomes = ["a-0", "b-1", "c-2"].map((replica) => ({
      replica,
      succeeded: 20,
      failed: 0,
      times,
    }));
    scenario.dispatch({ type: "outcomesShared", at: clock.now(), outcomes });
  };
  for (let second = 0; second < 50; second += 1) {
    tell();
    if (second % 2 === 0) replicas.request();
    clock.advanceTo(clock.now() + 500);
    tell();
    clock.advanceTo(clock.now() + 500);
  }
  assert.equal(scenario.state.secondTries.sentCount, 0);
  replicas.times.answerMs = () => never;
  const key = replicas.request();
  tell();
  clock.advanceTo(clock.now() + withinMs);
  const sends = scenario
    .commandsOfType("send")
    .filter((one) => one.key === key);
  assert.equal(sends.length, 2);
});
