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

const encoded = (one: RolloutReport): Uint8Array => {
  const datagram = encodeRolloutReport(one);
  assert.ok(datagram !== undefined);
  return datagram;
};

test("a report of a roll-out is decoded as it was encoded", () => {
  for (const fault of [undefined, "3 of 3 answers bad"])
    assert.deepEqual(decodePeerMessage(encoded({ ...report, fault }), 0), {
      type: "rollout",
      report: { ...report, fault },
    });
});

test("a report with any part that is malformed is passed over", () => {
  const [, content] = unpack(encoded(report)) as [string, unknown[]];
  for (const index of content.keys())
    for (const value of [undefined, {}, -1, ["x"]]) {
      const changed = content.with(index, value);
      const message = decodePeerMessage(pack(["rollout", changed]), 0);
      assert.equal(message, undefined, JSON.stringify([index, value]));
    }
});

test("a report fits one datagram, with the routes that say most", () => {
  const countsOf = (newAnswers: number, newFailed: number) => ({
    ...{ oldAnswers: 1e9, oldFailed: 1e9, oldSlow: 1e9 },
    ...{ newAnswers, newFailed, newSlow: 0 },
  });
  const nameOf = (index: number) => `${String(index)}${"r".repeat(180)}`;
  const large: RolloutReport = {
    ...report,
    service: "s".repeat(189),
    orderId: "é".repeat(100),
    source: "n".repeat(200),
    fault: `3 of 3 answers failed on ${"r".repeat(175)}`,
    counts: new Map(
      Array.from({ length: 12 }, (_, index) => [
        nameOf(index),
        countsOf(1000 + index, index === 3 ? 2 : 0),
      ]),
    ),
  };
  const datagram = encoded(large);
  assert.ok(datagram.length <= 1200, String(datagram.length));
  const decoded = decodePeerMessage(datagram, 0);
  assert.ok(decoded?.type === "rollout");
  const routes = [...decoded.report.counts.keys()];
  assert.deepEqual(routes.slice(0, 1), [nameOf(3)]);
  assert.ok(!routes.includes(nameOf(0)));
  assert.equal(decoded.report.fault, large.fault);
  const unnamed = encoded({ ...large, fault: "é".repeat(200) });
  assert.ok(unnamed.length <= 1200, String(unnamed.length));
  const tooLong = "é".repeat(200);
  const names = { service: tooLong, orderId: tooLong, source: tooLong };
  assert.equal(encodeRolloutReport({ ...large, ...names }), undefined);
});
