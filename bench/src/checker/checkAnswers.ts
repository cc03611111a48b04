/** Checks that an answer has each token exactly once, from one chain of generations of its own request. */

import { idsOf, isChained, initialDigestOf, textOf } from "./answerChains.js";
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

// A killed engine may have generated a few tokens after its ledger was read.
const maxUnrecordedTokens = 8;

const canHaveUnrecordedTokens = (
  answer: CallerAnswer,
  run: GenerationRun,
  chained: readonly GenerationRun[],
): boolean => {
  if (!run.isPartial || run !== chained.at(-1)) return false;
  const ids = idsOf(run);
  const isWhole = answer.outcome.type === "whole";
  if (isWhole && answer.maxTokens - ids.length > maxUnrecordedTokens)
    return false;
  return answer.text.startsWith(textOf(ids));
};

const isAllowedText = (
  answer: CallerAnswer,
  run: GenerationRun,
  chained: readonly GenerationRun[],
): boolean => {
  if (canHaveUnrecordedTokens(answer, run, chained)) return true;
  const known = textOf(idsOf(run));
  if (answer.outcome.type !== "whole") return known.startsWith(answer.text);
  return run.state === "finished" && answer.text === known;
};

// Classifies a wrong text by its differences from the texts of the chained generations.
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

const checkTokenCount = (
  answer: CallerAnswer,
  run: GenerationRun,
): Violation[] => {
  const { completionTokens, outcome, maxTokens } = answer;
  if (outcome.type !== "whole") return [];
  const generatedTokens = run.isPartial ? maxTokens : idsOf(run).length;
  if (completionTokens === generatedTokens) return [];
  const type =
    completionTokens < generatedTokens ? "tokenMissing" : "tokenRepeated";
  const message = `usage reports ${String(completionTokens)} tokens, but ${String(generatedTokens)} were generated`;
  return [violation(type, answer, message)];
};

const checkAnswer = (
  answer: CallerAnswer,
  own: readonly GenerationRun[],
): Violation[] => {
  if (answer.text === "" && answer.outcome.type !== "whole") return [];
  const seed = initialDigestOf(answer);
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
  if (source !== undefined) return checkTokenCount(answer, source);
  const type = classifyText(answer, chained);
  const message = `the text of ${String(answer.text.length)} characters matches no chain of the request's ${String(own.length)} generations`;
  return [violation(type, answer, message)];
};

/** Checks every answer against the engines' ledgers. */
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
