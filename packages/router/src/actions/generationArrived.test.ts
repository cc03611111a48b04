import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestExecuted } from "@cardamomglade/common";
import { Priority } from "@cardamomglade/schema";
import { createRouterState } from "../decide.js";
import type { GenerationRequest, ResumePoint } from "../types.js";
import { generationArrived } from "./generationArrived.js";

const router = { name: "r1", host: "h", zone: "a", region: "r" };

const request: GenerationRequest = {
  requestId: "q",
  customer: "stall",
  priority: Priority.Standard,
  model: "m",
  prompt: "p",
  maxTokens: 6,
  stop: [],
  deadline: 60_000,
};

const returnPoint: ResumePoint = {
  deployment: "d",
  attempt: 0,
  backEnd: "one",
  offset: 3,
  firstAttempt: 1000,
  prefix: [1, 2, 3],
  text: "abc",
};

const ranOf = (generation: GenerationRequest): RequestExecuted | undefined => {
  const state = createRouterState(router);
  const arrived = {
    type: "generationArrived",
    at: 1,
    request: generation,
  } as const;
  const [command] = generationArrived(state, arrived).commands;
  return command?.type === "failAnswer" ? command.error.ran : undefined;
};

test("refusing a resumed request reports that it ran, refusing a new one that it did not", () => {
  assert.equal(ranOf(request), RequestExecuted.No);
  assert.equal(
    ranOf({ ...request, resumePoint: returnPoint }),
    RequestExecuted.Yes,
  );
});
