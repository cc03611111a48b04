/** "Not run" means not run. */

import { RequestExecuted } from "@cardamomglade/common";
import { seedOf } from "./answerChains.js";
import type {
  CallerAnswer,
  CallerCall,
  CallerOutcome,
  RunRecord,
  Violation,
} from "./types.js";

const isDenied = (outcome: CallerOutcome): boolean =>
  outcome.type === "refused" && outcome.ran === RequestExecuted.No;

const deniedGeneration = (
  record: RunRecord,
  answer: CallerAnswer,
): Violation[] => {
  const seed = seedOf(answer);
  const run = record.generations.find(
    ({ from, prefixDigest }) => from === 0 && prefixDigest === seed,
  );
  if (run === undefined) return [];
  const message = `caller was told "not run", and ${run.backEnd} ran it`;
  return [{ type: "ranThoughDenied", subject: answer.prompt, message }];
};

// A run needs a send before it that was not denied: sends with one key share their body.
const deniedCalls = (
  { runs }: RunRecord,
  key: string,
  sends: readonly CallerCall[],
): Violation[] => {
  const body = sends[0]?.body;
  const unexplained = runs.filter(
    (run) =>
      run.body === body &&
      !sends.some(
        ({ outcome, askedAt }) =>
          !isDenied(outcome) && askedAt <= run.startedAt,
      ),
  );
  return unexplained.map(({ backEnd }) => ({
    type: "ranThoughDenied",
    subject: key,
    message: `every send so far was told "not run", and ${backEnd} ran the call`,
  }));
};

/** Sends by idempotency key. */
export const sendsByKey = (
  calls: readonly CallerCall[],
): Map<string, CallerCall[]> => {
  const groups = new Map<string, CallerCall[]>();
  for (const call of calls) {
    const group = groups.get(call.key) ?? [];
    group.push(call);
    groups.set(call.key, group);
  }
  return groups;
};

/** Checks every request whose caller was told that it was not run. */
export const checkDenials = (record: RunRecord): Violation[] => {
  const denied = record.answers.filter(({ outcome }) => isDenied(outcome));
  return [
    ...denied.flatMap((answer) => deniedGeneration(record, answer)),
    ...[...sendsByKey(record.calls)].flatMap(([key, sends]) =>
      deniedCalls(record, key, sends),
    ),
  ];
};
