/** Checks whether the generations of a request form one continuous token sequence. */

import {
  extendDigest,
  seedDigest,
  textOfTokens,
  tokenById,
} from "@cardamomglade/stand-ins";
import type { CallerAnswer, GenerationRun } from "./types.js";

/** Decodes token ids to text. */
export const textOf = (ids: readonly number[]): string =>
  textOfTokens(ids.map(tokenById));

/** Returns the prefix digest of an answer before its first token. */
export const initialDigestOf = ({
  model,
  version,
  prompt,
}: CallerAnswer): number => seedDigest(model, version, "", prompt);

const startsWith = (
  ids: readonly number[],
  start: readonly number[],
): boolean => start.every((id, index) => ids[index] === id);

/** Returns all token ids up to the end of a generation: the prefix that it resumed from and its own tokens. */
export const idsOf = (run: GenerationRun): readonly number[] => [
  ...run.prefix,
  ...run.tokens,
];

// The prefix that a generation resumed from must match the start of an earlier generation's token sequence.
const canPrecede = (run: GenerationRun, earlier: GenerationRun): boolean => {
  if (earlier.attempt >= run.attempt || earlier.from >= run.from) return false;
  const ids = idsOf(earlier);
  if (ids.length >= run.from) return startsWith(ids, run.prefix);
  return earlier.isPartial && startsWith(run.prefix, ids);
};

const hasValidDigest = (run: GenerationRun, seed: number): boolean =>
  run.prefix.length === run.from &&
  run.prefix.reduce(extendDigest, seed) === run.prefixDigest;

/** Whether earlier generations link a generation to the start of the answer without a gap. */
export const isChained = (
  run: GenerationRun,
  all: readonly GenerationRun[],
  seed: number,
): boolean => {
  if (!hasValidDigest(run, seed)) return false;
  if (run.from === 0) return true;
  return all.some(
    (earlier) => canPrecede(run, earlier) && isChained(earlier, all, seed),
  );
};
