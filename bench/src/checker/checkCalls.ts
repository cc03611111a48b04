/** A non-repeatable call runs at most once, and its callers get its one answer. */

import { sendsByKey } from "./checkDenials.js";
import type { CallerCall, RunRecord, Violation } from "./types.js";

const checkKey = (
  { runs }: RunRecord,
  key: string,
  sends: readonly CallerCall[],
): Violation[] => {
  const violations: Violation[] = [];
  const bodies = new Set(sends.map(({ body }) => body));
  const made = runs.filter(({ body }) => bodies.has(body));
  if (made.length > 1) {
    const message = `ran ${String(made.length)} times for ${String(sends.length)} sends`;
    violations.push({ type: "ranTwice", subject: key, message });
  }
  const answered = sends.filter(({ outcome }) => outcome.type === "whole");
  const answers = new Set(answered.map(({ answer }) => answer));
  if (answers.size > 1 || (answered.length > 0 && made.length === 0)) {
    const message = `${String(answers.size)} different answers, ${String(made.length)} runs`;
    violations.push({ type: "foreignAnswer", subject: key, message });
  }
  return violations;
};

/** Checks every key that callers sent. */
export const checkCalls = (record: RunRecord): Violation[] =>
  [...sendsByKey(record.calls)].flatMap(([key, sends]) =>
    checkKey(record, key, sends),
  );
