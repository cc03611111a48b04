/** Checks that requests reported as not run were not run. */

import { RequestExecuted } from "@cardamomglade/common";
import { initialDigestOf } from "./answerChains.js";
import type {
  CallerAnswer,
  CallerCall,
  CallerOutcome,
  RunRecord,
  Violation,
} from "./types.js";

const isReportedNotRun = (outcome: CallerOutcome): boolean =>
  outcome.type === "refused" && outcome.ran === RequestExecuted.No;

const checkReportedGeneration = (
  record: RunRecord,
  answer: CallerAnswer,
): Violation[] => {
  const seed = initialDigestOf(answer);
  const run = record.generations.find(
    ({ from, prefixDigest }) => from === 0 && prefixDigest === seed,
  );
  if (run === undefined) return [];
  const message = `reported as not run, but ${run.backEnd} ran it`;
  return [{ type: "ranThoughDenied", subject: answer.prompt, message }];
};

// Every run needs an earlier send that was not reported as not run. Sends with the same key have the same body.
const checkReportedCalls = (
  { runs }: RunRecord,
  key: string,
  sends: readonly CallerCall[],
): Violation[] => {
  const body = sends[0]?.body;
  const unexplained = runs.filter(
    (run) =>
      run.body === body &&
      !sends.some(
        ({ outcome, sentAt }) =>
          !isReportedNotRun(outcome) && sentAt <= run.startedAt,
      ),
  );
  return unexplained.map(({ backEnd }) => ({
    type: "ranThoughDenied",
    subject: key,
    message: `every earlier send was reported as not run, but ${backEnd} ran the call`,
  }));
};

/** Groups sends by idempotency key. */
export const groupSendsByKey = (
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

/** Checks every request that was reported to its caller as not run. */
export const checkDenials = (record: RunRecord): Violation[] => {
  const reportedNotRun = record.answers.filter(({ outcome }) =>
    isReportedNotRun(outcome),
  );
  return [
    ...reportedNotRun.flatMap((answer) =>
      checkReportedGeneration(record, answer),
    ),
    ...[...groupSendsByKey(record.calls)].flatMap(([key, sends]) =>
      checkReportedCalls(record, key, sends),
    ),
  ];
};
