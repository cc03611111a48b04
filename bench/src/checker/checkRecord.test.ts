import assert from "node:assert/strict";
import { test } from "node:test";
import { TimelineTopic } from "@cardamomglade/schema";
import { extendDigest } from "@cardamomglade/stand-ins";
import { initialDigestOf, textOf } from "./answerChains.js";
import { checkRecord } from "./checkRecord.js";
import { plantedFaults } from "./plantedFaults.js";
import type { CallerAnswer, GenerationRun, RunRecord } from "./types.js";

const start = 1_764_800_000_000;

// Token ids of words, of empty tokens and of parts of multi-byte characters.
const idsFrom = (first: number, count: number): number[] =>
  Array.from({ length: count }, (_, index) => {
    const at = first + index;
    if (at % 9 === 0) return 1;
    if (at % 11 === 0) return 2;
    return at % 11 === 1 ? 3 : 10 + ((at * 7) % 50);
  });

const answerOf = (name: string, ids: readonly number[]): CallerAnswer => ({
  router: "r1",
  requestId: name,
  model: "m",
  version: "v",
  prompt: `prompt ${name}`,
  maxTokens: ids.length,
  sentAt: start,
  endedAt: start + 900,
  text: textOf(ids),
  completionTokens: ids.length,
  longestGapMs: 20,
  outcome: { type: "whole" },
});

const runOf = (
  answer: CallerAnswer,
  attempt: number,
  prefix: readonly number[],
  tokens: number[],
): GenerationRun => ({
  requestId: answer.requestId,
  attempt,
  model: "m",
  version: "v",
  from: prefix.length,
  prefix,
  prefixDigest: prefix.reduce(extendDigest, initialDigestOf(answer)),
  prefilled: 0,
  startedAt: start + attempt,
  tokens,
  text: "",
  state: attempt === 0 ? "running" : "finished",
  backEnd: `engine-${String(attempt)}`,
  isPartial: false,
});

const call = (router: string, sentAt: number) => ({
  router,
  key: "k",
  body: "b",
  sentAt,
  endedAt: sentAt + 9,
  answer: "{}",
  outcome: { type: "whole" as const },
});

const cleanRecord = (isPartial: boolean): RunRecord => {
  const ids = idsFrom(1, 60);
  const [one, two] = [answerOf("q1", ids), answerOf("q2", idsFrom(100, 40))];
  const lost = runOf(one, 0, [], ids.slice(0, isPartial ? 18 : 25));
  const resumed = runOf(one, 1, ids.slice(0, 20), ids.slice(20));
  const whole = { ...runOf(two, 0, [], idsFrom(100, 40)), state: "finished" };
  return {
    answers: [one, two],
    calls: [call("r1", start + 5), call("r2", start + 30)],
    generations: [{ ...lost, isPartial }, resumed, whole],
    runs: [
      {
        requestId: "c",
        method: "POST",
        path: "/book",
        body: "b",
        number: 1,
        startedAt: start + 7,
        backEnd: "service-0",
      },
    ],
    events: [
      {
        at: `${String(start)}-000000-r1`,
        process: "r1",
        topic: TimelineTopic.Configuration,
        name: "inForce",
        revision: 2,
      },
    ],
    routers: ["r1"],
    routerFaults: [],
    leaving: [{ host: "h", backEnds: ["engine-9"], markedAt: start }],
    plannedStops: [],
    accepted: [{ revision: 2, acceptedAt: start - 5 }],
    endedAt: start + 20_000,
  };
};

test("a clean record has no violations, even if the newest tokens of a killed engine are unknown", () => {
  assert.deepEqual(checkRecord(cleanRecord(false)), []);
  assert.deepEqual(checkRecord(cleanRecord(true)), []);
});

for (const { name, expected, plant } of plantedFaults) {
  test(`planted fault ${name} is reported as ${expected}`, () => {
    for (const isPartial of [false, true]) {
      const found = checkRecord(plant(cleanRecord(isPartial)));
      const types = found.map(({ type }) => type);
      assert.ok(types.includes(expected), `found ${types.join(", ")}`);
    }
  });
}

test("a paused router has the full time limit for a configuration after its pause, and no more", () => {
  const record = cleanRecord(false);
  const accepted = [{ revision: 3, acceptedAt: start }];
  const pause = {
    type: "paused" as const,
    router: "r1",
    from: start + 1000,
    until: start + 5000,
  };
  const late = { ...record, accepted, endedAt: start + 16_900 };
  assert.equal(checkRecord(late).length, 1);
  const paused = { ...late, routerFaults: [pause] };
  assert.deepEqual(checkRecord(paused), []);
  const over = { ...paused, endedAt: start + 17_001 };
  assert.equal(checkRecord(over)[0]?.type, "configurationLate");
});
