/** Every token once, from one generation at a time, of the caller's own request. */

import { idsOf, isChained, seedOf, textOf } from "./answerChains.js";
import type {
  CallerAnswer,
  GenerationRun,
  RunRecord,
  Violation,
  ViolationType,
} from "./types.js";

const commonLength = (a: string, b: string): number => {
  let length = 0;
  while (length < a.length && a[length] === b[length]) length += 1;
  return length;
};

// A dead engine may have made a few tokens after its ledger was read.
const maxUnknownTokens = 8;

const mayEndUnknown = (
  answer: CallerAnswer,
  run: GenerationRun,
  chained: readonly GenerationRun[],
): boolean => {
  if (!run.isPartial || run !== chained.at(-1)) return false;
  const ids = idsOf(run);
  const isWhole = answer.outcome.type === "whole";
  if (isWhole && answer.maxTokens - ids.length > maxUnknownTokens) return false;
  return answer.text.startsWith(textOf(ids));
};

const isAllowedText = (
  answer: CallerAnswer,
  run: GenerationRun,
  chained: readonly GenerationRun[],
): boolean => {
  if (mayEndUnknown(answer, run, chained)) return true;
  const known = textOf(idsOf(run));
  if (answer.outcome.type !== "whole") return known.startsWith(answer.text);
  return run.state === "finished" && answer.text === known;
};

// Finds what is wrong with a text by the nearest allowed one.
const classifyText = (
  answer: CallerAnswer,
  chained: readonly GenerationRun[],
): ViolationType => {
  for (const run of chained) {
    const known = textOf(idsOf(run));
    const common = commonLength(answer.text, known);
    const rest = answer.text.slice(common);
    if (rest === "" && common < known.length) return "tokenMissing";
    if (common > 0 && rest !== "" && known.endsWith(rest))
      return answer.text.length > known.length
        ? "tokenRepeated"
        : "tokenMissing";
  }
  return "generationsMixed";
};

const violation = (
  type: ViolationType,
  answer: CallerAnswer,
  message: string,
): Violation => ({ type, subject: answer.requestId, message });

const checkCount = (answer: CallerAnswer, run: GenerationRun): Violation[] => {
  const { completionTokens, outcome, maxTokens } = answer;
  if (outcome.type !== "whole") return [];
  const made = run.isPartial ? maxTokens : idsOf(run).length;
  if (completionTokens === made) return [];
  const type = completionTokens < made ? "tokenMissing" : "tokenRepeated";
  const message = `${String(completionTokens)} tokens told, ${String(made)} made`;
  return [violation(type, answer, message)];
};

const checkAnswer = (
  answer: CallerAnswer,
  own: readonly GenerationRun[],
): Violation[] => {
  if (answer.text === "" && answer.outcome.type !== "whole") return [];
  const seed = seedOf(answer);
  const isForeign = own.some(
    ({ from, prefixDigest }) => from === 0 && prefixDigest !== seed,
  );
  if (isForeign)
    return [
      violation(
        "foreignAnswer",
        answer,
        "the answer was generated for another prompt or version",
      ),
    ];
  const chained = own
    .filter((run) => isChained(run, own, seed))
    .sort((a, b) => a.attempt - b.attempt);
  const source = chained.findLast((run) => isAllowedText(answer, run, chained));
  if (source !== undefined) return checkCount(answer, source);
  const type = classifyText(answer, chained);
  const message = `the text of ${String(answer.text.length)} characters is no chain of its ${String(own.length)} generations`;
  return [violation(type, answer, message)];
};

/** Checks every generation's answer against what the engines ran. */
export const checkAnswers = ({
  answers,
  generations,
}: RunRecord): Violation[] => {
  const byRequest = new Map<string, GenerationRun[]>();
  for (const run of generations) {
    const runs = byRequest.get(run.requestId) ?? [];
    runs.push(run);
    byRequest.set(run.requestId, runs);
  }
  return answers.flatMap((answer) =>
    checkAnswer(answer, byRequest.get(answer.requestId) ?? []),
  );
};
