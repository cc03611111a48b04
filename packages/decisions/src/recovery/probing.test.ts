import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createStream,
  decideRecovery,
  type RecoveryCommand,
  type RecoveryEvent,
} from "./index.js";

test("an attempt is cancelled when its engine answers probes but sends only one token per second", () => {
  let { state } = createStream({
    requestId: "q",
    policy: { type: "costFirst", probeTimeoutMs: 500 },
    deadline: 60_000,
    acceptedTokens: 0,
  });
  const commands: RecoveryCommand[] = [];
  const handle = (event: RecoveryEvent) => {
    const step = decideRecovery(state, event);
    state = step.state;
    commands.push(...step.commands);
  };
  handle({ type: "backEndAssigned", at: 0, backEnd: "one" });
  for (let at = 20; at <= 4000; at += 20) {
    const offset = state.acceptedTokens;
    const isDue = at <= 400 || at % 1000 === 400;
    if (isDue && state.attemptCount === 1)
      handle({ type: "tokensArrived", at, attempt: 0, offset, count: 1 });
    handle({ type: "timerTicked", at });
    if (state.phase.type === "probing")
      handle({ type: "backEndProbed", at, attempt: 0, isAlive: true });
    if (commands.some(({ type }) => type === "cancelAttempt")) {
      assert.ok(at - 400 < 3000);
      return;
    }
  }
  assert.fail("the attempt was kept");
});
