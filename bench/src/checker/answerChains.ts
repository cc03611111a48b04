/** Answers that the generations of a request allow. */

import {
  extendDigest,
  seedDigest,
  textOfTokens,
  tokenOf,
} from "@cardamomglade/stand-ins";
import type { CallerAnswer, GenerationRun } from "./types.js";

/** Text of token ids. */
export const textOf = (ids: readonly number[]): string =>
  textOfTokens(ids.map(tokenOf));

/** Digest before the first token of an answer. */
export const seedOf = ({ model, version, prompt }: CallerAnswer): number =>
  seedDigest(model, version, "", prompt);

const startsWith = (
  ids: readonly number[],
  start: readonly number[],
): boolean => start.every((id, index) => ids[index] === id);

/** All ids of a generation's answer: what it continued after, and its own. */
export const idsOf = (run: GenerationRun): readonly number[] => [
  ...run.prefix,
  ...run.tokens,
];

// The prefix a generation continued after has to be the start of an earlier one's answer.
const couldPrecede = (run: GenerationRun, earlier: GenerationRun): boolean => {
  if (earlier.attempt >= run.attempt || earlier.from >= run.from) return false;
  const ids = idsOf(earlier);
  if (ids.length >= run.from) return startsWith(ids, run.prefix);
  return earlier.isPartial && startsWith(run.prefix, ids);
};

const hasRightDigest = (run: GenerationRun, seed: number): boolean =>
  run.prefix.length === run.from &&
  run.prefix.reduce(extendDigest, seed) === run.prefixDigest;

/** Whether a generation continues an unbroken chain from the answer's start. */
export const isChained = (
  run: GenerationRun,
  all: readonly GenerationRun[],
  seed: number,
): boolean => {
  if (!hasRightDigest(run, seed)) return false;
  if (run.from === 0) return true;
  return all.some(
    (earlier) => couldPrecede(run, earlier) && isChained(earlier, all, seed),
  );
};
