/** Demo of the whole system: an engine is killed, one booking is sent to three routers, and a host is drained. */

import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { checkRecord } from "./checker/checkRecord.js";
import type { Violation } from "./checker/types.js";
import { Fleet, fleetModel } from "./harness/fleet.js";
import type { FleetRouter } from "./harness/fleetMembers.js";
import type { ReadAnswer } from "./harness/readAnswer.js";
import { RunRecorder } from "./harness/runRecorder.js";

const answerCount = 10;
const tokensPerAnswer = 600;
const killAfterMs = 4000;
const drainAfterMs = 7000;

const prompts = [
  "Summarise this supplier contract: tulips and carnations, delivered at dawn, priced per crate.",
  "Review these yearbook captions: names, spelling, class and page for every photo.",
];

const promptAt = (index: number): string =>
  `${prompts[index % prompts.length] ?? ""} Document ${String(index)}.`;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const longestGapMsAfter = (answer: ReadAnswer, timestampMs: number): number => {
  const times = answer.chunkTimes.filter((at) => at >= timestampMs - 100);
  const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at));
  return Math.max(0, ...gaps);
};

const sendBooking = async (
  recorder: RunRecorder,
  router: FleetRouter,
): Promise<string> => {
  const body = JSON.stringify({ trolley: 7, day: "2026-12-05" });
  const result = await recorder.sendCall({ router, key: "trolley-7", body });
  const { outcome, answer } = result;
  return outcome.type === "whole" ? answer : `${outcome.type}: ${answer}`;
};

const printViolations = (violations: readonly Violation[]): void => {
  for (const { type, subject, message } of violations)
    console.log(`${type}: ${subject}: ${message}`);
  console.log(`promises broken: ${String(violations.length)}`);
};

const run = async (fleet: Fleet): Promise<boolean> => {
  const recorder = RunRecorder.create(fleet);
  const pendingAnswers = Array.from({ length: answerCount }, (_, index) => {
    const router = fleet.routers[index % fleet.routers.length];
    if (router === undefined) throw new Error("the fleet has no router");
    return recorder.requestCompletion({
      router,
      customer: index % 2,
      prompt: promptAt(index),
      maxTokens: tokensPerAnswer,
    });
  });
  await pause(killAfterMs);
  const [killedEngine, drainedEngine] = fleet.engines;
  const killedAt = performance.now();
  if (killedEngine !== undefined) await recorder.killEngine(killedEngine);
  console.log(`killed ${killedEngine?.name ?? ""}`);

  const bookingAnswers: string[] = [];
  for (const router of fleet.routers)
    bookingAnswers.push(await sendBooking(recorder, router));
  console.log(
    `booked with one key at three routers: ${bookingAnswers.join(" | ")}`,
  );

  await pause(drainAfterMs - killAfterMs);
  const emptyBy = new Date(Date.now() + 5000).toISOString();
  await recorder.putIntent({
    ...fleet.intent,
    leaving: [{ host: `host-${drainedEngine?.name ?? ""}`, emptyBy }],
  });
  console.log(`draining host-${drainedEngine?.name ?? ""}`);

  const answers = await Promise.all(pendingAnswers);
  const rows = answers.map((answer, index) => {
    const expected = textOfTokens(
      expectedTokens({
        ...fleetModel,
        prompt: promptAt(index),
        maxTokens: tokensPerAnswer,
      }),
    );
    const isExact = answer.text === expected && answer.isWhole;
    return {
      answer: index,
      expected: tokensPerAnswer,
      received: answer.completionTokens,
      missing: Math.max(0, tokensPerAnswer - answer.completionTokens),
      repeated: Math.max(0, answer.completionTokens - tokensPerAnswer),
      exact: isExact,
      "longest gap ms": Math.round(longestGapMsAfter(answer, killedAt)),
      error: answer.error ?? "",
    };
  });
  console.table(rows);
  const record = await recorder.finish();
  const violations = checkRecord(record);
  printViolations(violations);
  const bookings = record.runs.filter(({ path }) => path === "/book").length;
  console.log(`bookings run: ${String(bookings)}`);
  return (
    bookings === 1 &&
    violations.length === 0 &&
    rows.every(
      ({ exact, missing, repeated }) =>
        exact && missing === 0 && repeated === 0,
    )
  );
};

const fleet = await Fleet.create({ engines: 4, routers: 3 });
try {
  const hasPassed = await run(fleet);
  console.log(hasPassed ? "every answer whole, one booking" : "FAILED");
  process.exitCode = hasPassed ? 0 : 1;
} finally {
  await fleet.stop();
}
process.exit();
