/** Known violations of each guarantee, planted into a clean record to test the checker. */

import { RequestExecuted } from "@cardamomglade/common";
import { TimelineTopic } from "@cardamomglade/schema";
import { idsOf, textOf } from "./answerChains.js";
import type {
  CallerAnswer,
  GenerationRun,
  RunRecord,
  ViolationType,
} from "./types.js";

/** A change to a clean record that the checker must report. */
export interface PlantedFault {
  readonly name: string;
  readonly expected: ViolationType;
  readonly plant: (record: RunRecord) => RunRecord;
}

const timestampDigitCount = 13;
const recordExtensionMs = 60_000;

// Finds a complete answer that was resumed at least once, with its last generation.
const findResumedAnswer = ({ answers, generations }: RunRecord) => {
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
  throw new Error("record has no complete answer that was resumed");
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

// Index of a token with visible text, so that dropping or doubling it changes the answer.
const visibleTokenIndex = (ids: readonly number[]): number => {
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
  const { answer, ids } = findResumedAnswer(record);
  const at = visibleTokenIndex(ids);
  const text = textOf([...ids.slice(0, at), ...ids.slice(at + 1)]);
  return changeAnswer(record, answer, { text });
};

const doubleToken = (record: RunRecord): RunRecord => {
  const { answer, ids } = findResumedAnswer(record);
  const at = visibleTokenIndex(ids);
  const text = textOf([...ids.slice(0, at + 1), ...ids.slice(at)]);
  return changeAnswer(record, answer, { text });
};

const endEarly = (record: RunRecord): RunRecord => {
  const { answer, ids } = findResumedAnswer(record);
  const text = textOf(ids.slice(0, -3));
  return changeAnswer(record, answer, { text });
};

// Changes the tokens of the earlier generations, so that they differ from the prefix of the last one.
const changeEarlierTokens = (record: RunRecord): RunRecord => {
  const { last } = findResumedAnswer(record);
  return changeGenerations(record, (run) => {
    const isEarlier =
      run.requestId === last.requestId && run.attempt < last.attempt;
    const shifted = run.tokens.map((id) => id + 1);
    return isEarlier ? { ...run, prefix: [], from: 0, tokens: shifted } : run;
  });
};

// Ends the answer with the tokens of another generation of the same request.
const spliceGeneration = (record: RunRecord): RunRecord => {
  const { answer, last, ids } = findResumedAnswer(record);
  const other = last.tokens.map((id) => (id >= 20 ? id - 7 : id));
  const run = { ...last, attempt: last.attempt + 1, tokens: other };
  const half = Math.floor((last.from + ids.length) / 2);
  const ending = idsOf(run).slice(half);
  const text = textOf([...ids.slice(0, half), ...ending]);
  const withRun = { ...record, generations: [...record.generations, run] };
  return changeAnswer(withRun, answer, { text });
};

const swapAnswer = (record: RunRecord): RunRecord => {
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
  const { answer } = findResumedAnswer(record);
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

const changeCallAnswer = (record: RunRecord): RunRecord => ({
  ...record,
  calls: record.calls.map((call, index) => ({
    ...call,
    answer: index === 0 ? `${call.answer} ` : call.answer,
  })),
});

const startOnLeaving = (record: RunRecord): RunRecord => {
  const [mark] = record.leaving;
  const { last } = findResumedAnswer(record);
  const run = {
    ...last,
    backEnd: mark?.backEnds[0] ?? "",
    startedAt: (mark?.markedAt ?? 0) + 3001,
  };
  return { ...record, generations: [...record.generations, run] };
};

const interruptAtStop = (record: RunRecord): RunRecord => {
  const { answer } = findResumedAnswer(record);
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

const revertConfiguration = (record: RunRecord): RunRecord => {
  const [process = ""] = record.routers;
  const at = `${String(record.endedAt).padStart(timestampDigitCount, "0")}-999999-${process}`;
  const event = {
    at,
    process,
    topic: TimelineTopic.Configuration,
    name: "inForce",
    revision: 1,
  };
  return { ...record, events: [...record.events, event] };
};

const omitConfiguration = (record: RunRecord): RunRecord => ({
  ...record,
  accepted: [
    ...record.accepted,
    { revision: Number.MAX_SAFE_INTEGER, acceptedAt: record.endedAt },
  ],
  endedAt: record.endedAt + recordExtensionMs,
});

/** Planted faults for all guarantees. */
export const plantedFaults: readonly PlantedFault[] = [
  { name: "droppedToken", expected: "tokenMissing", plant: dropToken },
  { name: "doubledToken", expected: "tokenRepeated", plant: doubleToken },
  { name: "endedEarly", expected: "tokenMissing", plant: endEarly },
  {
    name: "brokenChain",
    expected: "generationsMixed",
    plant: changeEarlierTokens,
  },
  { name: "spliced", expected: "generationsMixed", plant: spliceGeneration },
  { name: "crossedAnswers", expected: "foreignAnswer", plant: swapAnswer },
  { name: "otherAnswer", expected: "foreignAnswer", plant: changeCallAnswer },
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
  { name: "cutOff", expected: "cutByPlannedStop", plant: interruptAtStop },
  {
    name: "revertedConfiguration",
    expected: "configurationReverted",
    plant: revertConfiguration,
  },
  {
    name: "lateConfiguration",
    expected: "configurationLate",
    plant: omitConfiguration,
  },
];
