/** Checks that a non-idempotent call runs at most once and that all its sends get the same response. */

import { groupSendsByKey } from "./checkDenials.js";
import type { CallerCall, RunRecord, Violation } from "./types.js";

const checkKey = (
  { runs }: RunRecord,
  key: string,
  sends: readonly CallerCall[],
): Violation[] => {
  const violations: Violation[] = [];
  const bodies = new Set(sends.map(({ body }) => body));
  const ownRuns = runs.filter(({ body }) => bodies.has(body));
  if (ownRuns.length > 1) {
    const message = `ran ${String(ownRuns.length)} times for ${String(sends.length)} sends`;
    violations.push({ type: "ranTwice", subject: key, message });
  }
  const answered = sends.filter(({ outcome }) => outcome.type === "whole");
  const answers = new Set(answered.map(({ answer }) => answer));
  if (answers.size > 1 || (answered.length > 0 && ownRuns.length === 0)) {
    const message = `${String(answers.size)} different answers, ${String(ownRuns.length)} runs`;
    violations.push({ type: "foreignAnswer", subject: key, message });
  }
  return violations;
};

/** Checks every idempotency key that callers sent. */
export const checkCalls = (record: RunRecord): Violation[] =>
  [...groupSendsByKey(record.calls)].flatMap(([key, sends]) =>
    checkKey(record, key, sends),
  );
