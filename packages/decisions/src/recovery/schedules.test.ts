import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { hash32 } from "@cardamomglade/common";
import { FinishReason, type RecoveryPolicy } from "@cardamomglade/schema";
import {
  AttemptFailure,
  createStream,
  decideRecovery,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamState,
} from "./index.js";

const seed = 20261204;
const runs = 400;
const answerLength = 24;
const backEnds = ["one", "two", "three"];
const tickMs = 50;

interface Token {
  readonly value: number;
  /** Key of all tokens before it in its generation. */
  readonly after: number;
}

interface Attempt {
  readonly attempt: number;
  readonly backEnd: string;
  readonly from: number;
  readonly nonce: number;
  readonly ids: number[];
  sent: number;
  tokens: Token[];
}

const keyOf = (ids: readonly number[]): number => hash32(ids.join(","));

/** Plays engines, network and caller around one stream, checking after each event. */
class Schedule {
  at = 1000;
  state: StreamState;
  readonly delivered: Token[] = [];
  readonly attempts: Attempt[] = [];
  readonly open = new Set<number>();
  readonly dead = new Set<string>();
  readonly frozen = new Set<string>();
  private held: Token[] = [];
  private arriving: readonly Token[] = [];
  finished = 0;

  constructor(
    policy: RecoveryPolicy,
    private readonly isDiffering: boolean,
  ) {
    const started = createStream({
      requestId: "q",
      policy,
      deadline: 1e9,
      accepted: 0,
    });
    this.state = started.state;
    for (const command of started.commands) this.perform(command);
  }

  hear(event: RecoveryEvent): void {
    const step = decideRecovery(this.state, event);
    this.state = step.state;
    for (const command of step.commands) this.perform(command);
    this.check();
  }

  ids(): number[] {
    return this.delivered.map(({ value }) => value);
  }

  tick(ms: number): void {
    this.at += ms;
    this.hear({ type: "timePassed", at: this.at });
  }

  /** An attempt makes tokens and its engine sends all that was not sent. */
  generate(index: number, count: number, shift: number): void {
    const attempt = this.attempts[index % Math.max(1, this.attempts.length)];
    if (attempt === undefined || this.dead.has(attempt.backEnd)) return;
    for (let made = 0; made < count; made += 1) this.extend(attempt);
    if (this.frozen.has(attempt.backEnd)) return;
    const tokens = attempt.tokens.slice(attempt.sent);
    const offset = attempt.from + attempt.sent + shift;
    attempt.sent += tokens.length;
    if (tokens.length > 0) this.send(attempt, offset, tokens);
    if (attempt.from + attempt.sent < answerLength) return;
    this.hear({
      type: "attemptFinished",
      at: this.at,
      attempt: attempt.attempt,
      offset: answerLength,
      reason: FinishReason.Length,
    });
  }

  kill(index: number): void {
    const backEnd = backEnds[index] ?? "";
    this.dead.add(backEnd);
    for (const attempt of [...this.attempts]) {
      if (attempt.backEnd === backEnd) this.breakAttempt(attempt.attempt);
    }
  }

  breakAttempt(attempt: number): void {
    const failure = AttemptFailure.Connection;
    this.hear({ type: "attemptFailed", at: this.at, attempt, failure });
  }

  private send(
    { attempt }: Attempt,
    offset: number,
    tokens: readonly Token[],
  ): void {
    this.arriving = tokens;
    const count = tokens.length;
    this.hear({ type: "tokensArrived", at: this.at, attempt, offset, count });
    this.arriving = [];
  }

  private extend(attempt: Attempt): void {
    if (attempt.from + attempt.tokens.length >= answerLength) return;
    const after = keyOf(attempt.ids);
    const value = hash32(`${String(after)}.${String(attempt.nonce)}`) % 1000;
    attempt.tokens.push({ value, after });
    attempt.ids.push(value);
  }

  private perform(command: RecoveryCommand): void {
    const { at } = this;
    switch (command.type) {
      case "assignBackEnd": {
        const backEnd = backEnds.find((name) => !command.avoid.includes(name));
        if (backEnd === undefined) this.hear({ type: "noBackEnd", at });
        else this.hear({ type: "backEndAssigned", at, backEnd });
        return;
      }
      case "openAttempt":
        this.openAttempt(command);
        return;
      case "cancelAttempt":
      case "closeAttempt":
        assert.ok(
          this.open.delete(command.attempt),
          "closed without being open",
        );
        return;
      case "probeBackEnd": {
        const isAlive =
          !this.dead.has(command.backEnd) && !this.frozen.has(command.backEnd);
        const { attempt } = command;
        this.hear({ type: "backEndProbed", at, attempt, isAlive });
        return;
      }
      case "deliver":
        this.deliver(command.offset, this.arriving.slice(command.skip));
        return;
      case "hold":
        this.held.push(...this.arriving);
        return;
      case "dropHeld":
        this.held = [];
        return;
      case "deliverHeld":
        this.deliver(command.offset, this.held.splice(0));
        return;
      case "finish":
        this.finished += 1;
        return;
      case "fail":
      case "pauseAttempt":
      case "resumeAttempt":
    }
  }

  private openAttempt({
    attempt,
    backEnd,
    from,
  }: Extract<RecoveryCommand, { type: "openAttempt" }>): void {
    assert.equal(from, this.delivered.length, "began off the accepted prefix");
    this.open.add(attempt);
    this.attempts.push({
      attempt,
      backEnd,
      from,
      nonce: this.isDiffering ? attempt : 0,
      ids: this.ids(),
      sent: 0,
      tokens: [],
    });
    if (this.dead.has(backEnd)) this.breakAttempt(attempt);
  }

  private deliver(offset: number, tokens: readonly Token[]): void {
    assert.equal(this.finished, 0, "delivered after the end");
    assert.equal(offset, this.delivered.length, "not the next offset");
    for (const token of tokens) {
      assert.equal(token.after, keyOf(this.ids()), "text of two generations");
      this.delivered.push(token);
    }
  }

  private check(): void {
    const { phase, accepted } = this.state;
    if (this.finished > 0) {
      assert.equal(this.delivered.length, answerLength);
      assert.equal(this.finished, 1);
    }
    if (phase.type === "finished" || phase.type === "failed") {
      assert.equal(this.open.size, 0, "an attempt stayed open");
    }
    assert.ok(this.open.size <= 2, "more than two attempts");
    assert.ok(accepted <= answerLength);
  }
}

type Act = (schedule: Schedule) => void;

const engineIndex = fc.nat({ max: backEnds.length - 1 });
const acts: fc.Arbitrary<Act> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc
      .tuple(fc.nat({ max: 12 }), fc.integer({ min: 0, max: 3 }))
      .map(([index, count]): Act => (one) => {
        one.generate(index, count, 0);
      }),
  },
  {
    weight: 4,
    arbitrary: fc.constant<Act>((one) => {
      one.generate(one.attempts.length - 1, 1, 0);
    }),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(tickMs, 600, 1600).map((ms): Act => (one) => {
      one.tick(ms);
    }),
  },
  engineIndex.map((index): Act => (one) => {
    one.kill(index);
  }),
  engineIndex.map((index): Act => (one) => {
    one.frozen.add(backEnds[index] ?? "");
  }),
  engineIndex.map((index): Act => (one) => {
    one.frozen.delete(backEnds[index] ?? "");
    one.dead.delete(backEnds[index] ?? "");
  }),
  fc
    .tuple(fc.nat({ max: 12 }), fc.constantFrom(-2, -1, 1, 3))
    .map(([index, shift]): Act => (one) => {
      one.generate(index, 1, shift);
    }),
  fc.nat({ max: 12 }).map((attempt): Act => (one) => {
    one.breakAttempt(attempt);
  }),
  fc
    .constantFrom("moveRequested", "callerSlow", "callerReady")
    .map((type): Act => (one) => {
      one.hear({ type, at: one.at });
    }),
);

const policies: fc.Arbitrary<RecoveryPolicy> = fc.constantFrom(
  { type: "latencyFirst", hedge: true },
  { type: "latencyFirst", hedge: false },
  { type: "costFirst", probeTimeoutMs: 500 },
);

const endsWhole = (schedule: Schedule): void => {
  schedule.dead.clear();
  schedule.frozen.clear();
  schedule.hear({ type: "callerReady", at: schedule.at });
  for (let round = 0; round < 300 && schedule.finished === 0; round += 1) {
    for (const attempt of [...schedule.open]) {
      schedule.generate(
        schedule.attempts.findIndex((one) => one.attempt === attempt),
        1,
        0,
      );
    }
    schedule.tick(100);
  }
  assert.equal(schedule.finished, 1, "the answer did not end");
};

test(`any schedule of faults gives one generation's text, each token once (seed ${String(seed)})`, () => {
  fc.assert(
    fc.property(
      policies,
      fc.boolean(),
      fc.array(acts, { maxLength: 60 }),
      (policy, isDiffering, schedule) => {
        const one = new Schedule(policy, isDiffering);
        for (const act of schedule) act(one);
        endsWhole(one);
      },
    ),
    { seed, numRuns: runs },
  );
});
