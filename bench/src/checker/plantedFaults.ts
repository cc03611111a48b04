/** One fault for each promise, planted into a clean record. */

import { RequestExecuted } from "@cardamomglade/common";
import { TimelineTopic } from "@cardamomglade/schema";
import { idsOf, textOf } from "./answerChains.js";
import type {
  CallerAnswer,
  GenerationRun,
  RunRecord,
  ViolationType,
} from "./types.js";

/** A fault that the checker has to find. */
export interface PlantedFault {
  readonly name: string;
  readonly expected: ViolationType;
  readonly plant: (record: RunRecord) => RunRecord;
}

const wallDigits = 13;
const longAfterMs = 60_000;

// The planted record has a whole answer that was resumed once.
const resumedOf = ({ answers, generations }: RunRecord) => {
  for (const answer of answers) {
    const runs = generations.filter(
      ({ requestId }) => requestId === answer.requestId,
    );
    const last = runs.findLast(
      ({ from, state, isPartial }) =>
        from > 1 && state === "finished" && !isPartial,
    );
    const isWhole = answer.outcome.type === "whole";
    if (isWhole && last !== undefined && runs.length > 1)
      return { answer, last, ids: idsOf(last) };
  }
  throw new Error("the record has no answer that was resumed");
};

const changeAnswer = (
  record: RunRecord,
  answer: CallerAnswer,
  change: Partial<CallerAnswer>,
): RunRecord => ({
  ...record,
  answers: record.answers.map((one) =>
    one === answer ? { ...one, ...change } : one,
  ),
});

// Two tokens with a text, so that dropping or doubling them shows.
const visibleAt = (ids: readonly number[]): number => {
  const index = ids.findIndex(
    (id, at) => at > 0 && textOf([id]).trim().length > 1,
  );
  return Math.max(1, index);
};

const changeGenerations = (
  record: RunRecord,
  change: (run: GenerationRun) => GenerationRun,
): RunRecord => ({ ...record, generations: record.generations.map(change) });

const dropToken = (record: RunRecord): RunRecord => {
  const { answer, ids } = resumedOf(record);
  const at = visibleAt(ids);
  const text = textOf([...ids.slice(0, at), ...ids.slice(at + 1)]);
  return changeAnswer(record, answer, { text });
};

const doubleToken = (record: RunRecord): RunRecord => {
  const { answer, ids } = resumedOf(record);
  const at = visibleAt(ids);
  const text = textOf([...ids.slice(0, at + 1), ...ids.slice(at)]);
  return changeAnswer(record, answer, { text });
};

const endEarly = (record: RunRecord): RunRecord => {
  const { answer, ids } = resumedOf(record);
  const text = textOf(ids.slice(0, -3));
  return changeAnswer(record, answer, { text });
};

// The earlier generation made other tokens than those its successor continued after.
const changeEarlier = (record: RunRecord): RunRecord => {
  const { last } = resumedOf(record);
  return changeGenerations(record, (run) => {
    const isEarlier =
      run.requestId === last.requestId && run.attempt < last.attempt;
    const shifted = run.tokens.map((id) => id + 1);
    return isEarlier ? { ...run, prefix: [], from: 0, tokens: shifted } : run;
  });
};

// Another generation of the same request ends the answer.
const spliceOther = (record: RunRecord): RunRecord => {
  const { answer, last, ids } = resumedOf(record);
  const other = last.tokens.map((id) => (id >= 20 ? id - 7 : id));
  const run = { ...last, attempt: last.attempt + 1, tokens: other };
  const half = Math.floor((last.from + ids.length) / 2);
  const ending = idsOf(run).slice(half);
  const text = textOf([...ids.slice(0, half), ...ending]);
  const withRun = { ...record, generations: [...record.generations, run] };
  return changeAnswer(withRun, answer, { text });
};

const crossAnswers = (record: RunRecord): RunRecord => {
  const [one, two] = record.answers.filter(
    ({ outcome }) => outcome.type === "whole",
  );
  if (one === undefined || two === undefined) return record;
  const crossed = changeAnswer(record, one, {
    text: two.text,
    requestId: two.requestId,
  });
  return crossed;
};

const denyGeneration = (record: RunRecord): RunRecord => {
  const { answer } = resumedOf(record);
  const outcome = {
    type: "refused",
    ran: RequestExecuted.No,
    message: "planted",
  } as const;
  return changeAnswer(record, answer, { outcome, text: "", requestId: "" });
};

const denyCalls = (record: RunRecord): RunRecord => ({
  ...record,
  calls: record.calls.map((call) => ({
    ...call,
    answer: "",
    outcome: { type: "refused", ran: RequestExecuted.No, message: "planted" },
  })),
});

const runTwice = (record: RunRecord): RunRecord => ({
  ...record,
  runs: record.runs.flatMap((run) => [run, { ...run, number: -run.number }]),
});

const answerOther = (record: RunRecord): RunRecord => ({
  ...record,
  calls: record.calls.map((call, index) => ({
    ...call,
    answer: index === 0 ? `${call.answer} ` : call.answer,
  })),
});

const startOnLeaving = (record: RunRecord): RunRecord => {
  const [mark] = record.leaving;
  const { last } = resumedOf(record);
  const run = {
    ...last,
    backEnd: mark?.backEnds[0] ?? "",
    startedAt: (mark?.markedAt ?? 0) + 3001,
  };
  return { ...record, generations: [...record.generations, run] };
};

const breakAtStop = (record: RunRecord): RunRecord => {
  const { answer } = resumedOf(record);
  const { router, endedAt, text } = answer;
  const stop = { type: "router", router, at: endedAt } as const;
  const broken = changeAnswer(record, answer, {
    outcome: { type: "broken", message: "planted" },
    text: text.slice(0, text.length / 2),
  });
  return {
    ...broken,
    routerFaults: [],
    plannedStops: [...record.plannedStops, stop],
  };
};

const revert = (record: RunRecord): RunRecord => {
  const [process = ""] = record.routers;
  const at = `${String(record.endedAt).padStart(wallDigits, "0")}-999999-${process}`;
  const event = {
    at,
    process,
    topic: TimelineTopic.Configuration,
    name: "inForce",
    revision: 1,
  };
  return { ...record, events: [...record.events, event] };
};

const applyLate = (record: RunRecord): RunRecord => ({
  ...record,
  accepted: [
    ...record.accepted,
    { revision: Number.MAX_SAFE_INTEGER, acceptedAt: record.endedAt },
  ],
  endedAt: record.endedAt + longAfterMs,
});

/** A fault for each promise. */
export const plantedFaults: readonly PlantedFault[] = [
  { name: "droppedToken", expected: "tokenMissing", plant: dropToken },
  { name: "doubledToken", expected: "tokenRepeated", plant: doubleToken },
  { name: "endedEarly", expected: "tokenMissing", plant: endEarly },
  { name: "brokenChain", expected: "generationsMixed", plant: changeEarlier },
  { name: "spliced", expected: "generationsMixed", plant: spliceOther },
  { name: "crossedAnswers", expected: "foreignAnswer", plant: crossAnswers },
  { name: "otherAnswer", expected: "foreignAnswer", plant: answerOther },
  {
    name: "deniedGeneration",
    expected: "ranThoughDenied",
    plant: denyGeneration,
  },
  { name: "deniedCall", expected: "ranThoughDenied", plant: denyCalls },
  { name: "ranTwice", expected: "ranTwice", plant: runTwice },
  {
    name: "workOnLeaving",
    expected: "newWorkOnLeaving",
    plant: startOnLeaving,
  },
  { name: "cutOff", expected: "cutByPlannedStop", plant: breakAtStop },
  {
    name: "revertedConfiguration",
    expected: "configurationReverted",
    plant: revert,
  },
  {
    name: "lateConfiguration",
    expected: "configurationLate",
    plant: applyLate,
  },
];
