import assert from "node:assert/strict";
import { test } from "node:test";
import { pack, unpack } from "msgpackr";
import {
  RolloutPhase,
  type RolloutReport,
} from "../decisions/rollout/types.js";
import { decodePeerMessage } from "./peerMessages.js";
import { encodeRolloutReport } from "./rolloutReports.js";

const report: RolloutReport = {
  service: "desk",
  orderId: "7-v2",
  source: "r1@1000",
  ageMs: 1200,
  firstSent: 40,
  exposed: 3,
  oldInFlight: 2,
  phase: RolloutPhase.Moving,
  fault: undefined,
  counts: new Map([
    [
      "/a/",
      {
        oldAnswers: 30,
        oldFailed: 1,
        oldSlow: 2,
        newAnswers: 3,
        newFailed: 1,
        newSlow: 0,
      },
    ],
  ]),
};

test("a report of a roll-out is decoded as it was encoded", () => {
  for (const fault of [undefined, "3 of 3 answers bad"])
    assert.deepEqual(
      decodePeerMessage(encodeRolloutReport({ ...report, fault }), 0),
      { type: "rollout", report: { ...report, fault } },
    );
});

test("a report with any part that is malformed is passed over", () => {
  const [, content] = unpack(encodeRolloutReport(report)) as [
    string,
    unknown[],
  ];
  for (const index of content.keys())
    for (const value of [undefined, {}, -1, ["x"]]) {
      const changed = content.with(index, value);
      const message = decodePeerMessage(pack(["rollout", changed]), 0);
      assert.equal(message, undefined, JSON.stringify([index, value]));
    }
});
