/** Faults planted into the record of a real run: the checker has to find each. */

import { setTimeout as sleep } from "node:timers/promises";
import { checkRecord } from "../checker/checkRecord.js";
import { plantedFaults, type PlantedFault } from "../checker/plantedFaults.js";
import type { RunRecord } from "../checker/types.js";
import { Fleet } from "../harness/fleet.js";
import { RunRecorder } from "../harness/runRecorder.js";
import type { Experiment, Row } from "../types.js";

const answers = 9;
const tokensPerAnswer = 150;
const killAfterMs = 1200;

const recordRun = async (fleet: Fleet): Promise<RunRecord> => {
  const recorder = RunRecorder.create(fleet);
  const asked = Array.from({ length: answers }, (_, index) => {
    const router = fleet.routers[index % fleet.routers.length];
    if (router === undefined) throw new Error("the fleet has no router");
    return recorder.ask({
      router,
      customer: 0,
      prompt: `Page ${String(index)} of the yearbook`,
      maxTokens: tokensPerAnswer,
    });
  });
  for (const router of fleet.routers)
    await recorder.call({ router, key: "sign-off-1", body: '{"page":1}' });
  await sleep(killAfterMs);
  const [victim, leaver] = fleet.engines;
  if (victim !== undefined) await recorder.killEngine(victim);
  const emptyBy = new Date(Date.now() + killAfterMs).toISOString();
  await recorder.putIntent({
    ...fleet.intent,
    leaving: [{ host: `host-${leaver?.name ?? ""}`, emptyBy }],
  });
  await Promise.all(asked);
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

/** Shows that the checker can fail, for each promise. */
export const checker: Experiment = {
  name: "checker",
  description:
    "a planted fault for each promise is found, a clean run is clean",
  run: async () => {
    const mode = "differing";
    const fleet = await Fleet.create({ engines: 4, routers: 3, mode });
    try {
      const record = await recordRun(fleet);
      const clean = checkRecord(record);
      for (const { type, subject, message } of clean)
        console.log(`${type}: ${subject}: ${message}`);
      return [
        {
          name: "checker.cleanRun",
          value: clean.length,
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
