import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { formatRequest } from "./formatRequest.js";
import { readLogLine } from "./readLogLine.js";

const line = (time: number, message: string, context: object): string =>
  JSON.stringify({ context, message, time, sequence: "1", version: "2.0.0" });

test("log lines of one request from several processes are printed in time order with their fields", () => {
  const texts = [
    line(2040, "request answered", {
      router: "b",
      requestId: "r1",
      status: 200,
    }),
    `   1.9 edge-1 ${line(2000, "request sent", { router: "a", requestId: "r1", attempt: 0 })}`,
    line(2010, "request sent", { router: "a", requestId: "r10" }),
    "torn line with r1 {",
  ];
  const lines = texts
    .map((text) => readLogLine(text, "r1"))
    .filter((found) => found !== undefined);
  assert.deepEqual(formatRequest(lines).split("\n"), [
    "begins 1970-01-01T00:00:02.000Z",
    "      0 ms  a  request sent  attempt=0",
    "     40 ms  b  request answered  status=200",
  ]);
});

test("parsing any text as a log line throws no exception", () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      readLogLine(text, "");
    }),
  );
});
