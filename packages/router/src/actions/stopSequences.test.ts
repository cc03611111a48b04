import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Priority } from "@cardamomglade/schema";
import { findStopAcrossBoundary } from "./stopSequences.js";
import type { StreamEntry } from "../types.js";

const entryWith = (before: string, stop: string[]): StreamEntry =>
  ({
    request: {
      requestId: "q",
      customer: "stall",
      priority: Priority.Standard,
      model: "m",
      prompt: "p",
      maxTokens: 9,
      stop,
      deadline: 1,
    },
    continuationBoundaries: new Map([[1, { before, after: "" }]]),
  }) as unknown as StreamEntry;

const tokenTexts = fc.constantFrom("a", "b", "");

test("a stop sequence across the start of a continuation ends the answer at the same token as an uninterrupted run (seed 6)", () => {
  fc.assert(
    fc.property(
      fc.array(tokenTexts, { maxLength: 12 }),
      fc.nat({ max: 12 }),
      fc.string({
        unit: fc.constantFrom("a", "b"),
        minLength: 1,
        maxLength: 4,
      }),
      (texts, cut, stop) => {
        const endIndex = texts.findIndex((_, index) =>
          texts
            .slice(0, index + 1)
            .join("")
            .includes(stop),
        );
        fc.pre(endIndex === -1 || endIndex >= cut);
        const before = texts.slice(0, cut).join("");
        const after = texts.slice(cut);
        const isCrossing =
          endIndex >= 0 &&
          !texts
            .slice(cut, endIndex + 1)
            .join("")
            .includes(stop);
        const entry = entryWith(before, [stop]);
        const stopIndex = after.findIndex(
          (text) =>
            findStopAcrossBoundary(entry, 1, [{ id: 1, text }]) !== undefined,
        );
        if (isCrossing) assert.equal(stopIndex + cut, endIndex);
        else assert.ok(stopIndex === -1 || stopIndex + cut === endIndex);
      },
    ),
    { seed: 6, numRuns: 500 },
  );
});
