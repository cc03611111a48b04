/** Tests the checker: alters the record of a real run by one violation at a time, and the checker has to report each. */

import { setTimeout as sleep } from "node:timers/promises";
import { checkRecord } from "../checker/checkRecord.js";
import { plantedFaults, type PlantedFault } from "../checker/plantedFaults.js";
import type { RunRecord } from "../checker/types.js";
import { Fleet } from "../harness/fleet.js";
import { RunRecorder } from "../harness/runRecorder.js";
import type { Experiment, Row } from "../types.js";

const answerCount = 9;
const tokensPerAnswer = 150;
const killAfterMs = 1200;

const recordRun = async (fleet: Fleet): Promise<RunRecord> => {
  const recorder = RunRecorder.create(fleet);
  const pendingAnswers = Array.from({ length: answerCount }, (_, index) => {
    const router = fleet.routers[index % fleet.routers.length];
    if (router === undefined) throw new Error("the fleet has no router");
    return recorder.requestCompletion({
      router,
      customer: 0,
      prompt: `Page ${String(index)} of the yearbook`,
      maxTokens: tokensPerAnswer,
    });
  });
  for (const router of fleet.routers)
    await recorder.sendCall({ router, key: "sign-off-1", body: '{"page":1}' });
  await sleep(killAfterMs);
  const [killedEngine, drainedEngine] = fleet.engines;
  if (killedEngine !== undefined) await recorder.killEngine(killedEngine);
  const emptyBy = new Date(Date.now() + killAfterMs).toISOString();
  await recorder.putIntent({
    ...fleet.intent,
    leaving: [{ host: `host-${drainedEngine?.name ?? ""}`, emptyBy }],
  });
  await Promise.all(pendingAnswers);
  return recorder.finish();
};

const rowOf = (record: RunRecord, fault: PlantedFault): Row => {
  const found = checkRecord(fault.plant(record)).filter(
    ({ type }) => type === fault.expected,
  );
  return {
    name: `checker.${fault.name}.${fault.expected}`,
    value: found.length,
    unit: "violations",
    bound: { type: "atLeast", value: 1 },
  };
};

/** Shows for each guarantee that the checker reports a violation of it. */
export const checker: Experiment = {
  name: "checker",
  description:
    "the checker reports a violation of each guarantee, and none in a correct run",
  run: async () => {
    const mode = "differing";
    const fleet = await Fleet.create({ engines: 4, routers: 3, mode });
    try {
      const record = await recordRun(fleet);
      const cleanViolations = checkRecord(record);
      for (const { type, subject, message } of cleanViolations)
        console.log(`${type}: ${subject}: ${message}`);
      return [
        {
          name: "checker.cleanRun",
          value: cleanViolations.length,
          unit: "violations",
          bound: { type: "atMost", value: 0 },
        },
        ...plantedFaults.map((fault) => rowOf(record, fault)),
      ];
    } finally {
      await fleet.stop();
    }
  },
};
