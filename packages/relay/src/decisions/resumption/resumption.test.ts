/** Streams whose replicas answer with nothing new, on a virtual clock of milliseconds. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { Timestamp } from "@cardamomglade/common";
import {
  idleReport,
  okHead,
  Scenario,
  streamPath,
  testReplica,
} from "../../testing/scenario.js";
import type { RelayCommand } from "../commands.js";
import type { StopOutcome } from "../earlierRuns/types.js";
import { AttemptFailure, BodyFraming } from "../types.js";

const key = "1";
const tickMs = 25;
const playMs = 20_000;
const maxAttempts = 5; // of the route
const longestPauseMs = 1000;
const engine = testReplica("a-1");

/** How an engine ends the connection of an attempt. */
enum Ending {
  Closed = "it closes the connection",
  Reset = "it resets the connection",
  Malformed = "it sends what is no event",
  Gap = "it leaves events out",
}

/** What an engine does with a stream. */
interface Behaviour {
  readonly ending: Ending;
  readonly isAnswered?: boolean;
  readonly stopOutcome?: StopOutcome;
}

/** Plays one engine, each of whose answers takes a millisecond. */
class FruitlessEngine {
  readonly scenario: Scenario;
  readonly sentAt: Timestamp[] = [];
  private behaviour: Behaviour | undefined;
  private seenCount = 0;

  constructor(replicas = [engine]) {
    this.scenario = Scenario.create(replicas);
    this.scenario.request(key, streamPath);
    this.answer(1);
    this.seenCount = this.scenario.commands.length;
  }

  /** Does so with each attempt for a time. */
  play(behaviour: Behaviour, ms = playMs): void {
    const { scenario } = this;
    this.behaviour = behaviour;
    this.end();
    const until = scenario.at + ms;
    while (scenario.at < until) {
      scenario.at += 1;
      if (scenario.at % tickMs === 0)
        scenario.dispatch({ type: "timerTicked", at: scenario.at });
      const commands = scenario.commands.slice(this.seenCount);
      this.seenCount = scenario.commands.length;
      for (const command of commands) this.perform(command);
    }
  }

  /** Sends an event of the latest attempt. */
  answer(id: number): void {
    const { scenario } = this;
    const { at } = scenario;
    const attempt = scenario.lastSend(key).attempt.number;
    const framing = BodyFraming.Connection;
    const head = okHead({ isStream: true, framing });
    const events = [{ id, bytes: new Uint8Array() }];
    scenario.connect(key);
    scenario.dispatch({ type: "streamStarted", at, key, attempt, head });
    scenario.dispatch({ type: "eventsArrived", at, key, attempt, events });
  }

  private perform(command: RelayCommand): void {
    const { scenario, behaviour } = this;
    const { at } = scenario;
    if (command.type === "send") {
      this.sentAt.push(at);
      if (behaviour?.isAnswered === false) scenario.connect(key);
      else this.answer(1);
      this.end();
    }
    if (command.type === "stopRun")
      scenario.answerStop(behaviour?.stopOutcome ?? { type: "notFound" });
    if (command.type !== "probe") return;
    const runs = [{ requestId: `id-${key}`, generatedEventCount: 9 }];
    const report = { ...idleReport, startedAt: 1, runs };
    const answer = { isAnswered: true, report };
    scenario.probeFinished(command.replica, command.sentAt, answer);
  }

  private end(): void {
    const { scenario, behaviour } = this;
    const { at } = scenario;
    const attempt = scenario.lastSend(key).attempt.number;
    const events = [{ id: 9, bytes: new Uint8Array() }];
    switch (behaviour?.ending) {
      case Ending.Closed:
        scenario.dispatch({ type: "streamEnded", at, key, attempt });
        return;
      case Ending.Reset:
        scenario.failAttempt(key, attempt);
        return;
      case Ending.Malformed:
        scenario.failAttempt(key, attempt, AttemptFailure.Malformed);
        return;
      case Ending.Gap:
        scenario.dispatch({ type: "eventsArrived", at, key, attempt, events });
        return;
      default:
    }
  }
}

/** Most attempts that were sent within a second. */
const mostInSecond = (times: readonly Timestamp[]): number =>
  Math.max(
    ...times.map(
      (from) => times.filter((at) => at >= from && at < from + 1000).length,
    ),
  );

const stopped: StopOutcome = { type: "stopped", handle: "h", isCopied: false };

for (const ending of Object.values(Ending))
  for (const stopOutcome of [{ type: "notFound" } as const, stopped])
    test(`a stream is sent with each round trip to an engine that repeats one event: ${ending}, run ${stopOutcome.type}`, (t) => {
      const played = new FruitlessEngine();
      played.play({ ending, stopOutcome });
      t.diagnostic(`${String(played.sentAt.length)} sent`);
      assert.ok(played.sentAt.length <= maxAttempts);
      assert.ok(mostInSecond(played.sentAt) <= 5);
    });

test("a stream is sent with each round trip to an engine that only takes connections and resets them", () => {
  const played = new FruitlessEngine();
  const behaviour = { ending: Ending.Reset, stopOutcome: stopped };
  played.play({ ...behaviour, isAnswered: false });
  assert.ok(mostInSecond(played.sentAt) <= 5);
});

test("two engines that each hold the other's copy pass a stream on with each round trip", () => {
  const played = new FruitlessEngine([engine, testReplica("b-1")]);
  played.play({ ending: Ending.Gap, stopOutcome: stopped });
  assert.ok(played.sentAt.length <= maxAttempts);
  assert.ok(mostInSecond(played.sentAt) <= 5);
});

test("a stream that an engine goes on with after some vain attempts loses or repeats an event", () => {
  const played = new FruitlessEngine();
  const { scenario } = played;
  played.play({ ending: Ending.Malformed, stopOutcome: stopped }, 250);
  assert.ok(played.sentAt.length > 1);
  scenario.advance(longestPauseMs);
  for (const id of [1, 2, 3]) played.answer(id);
  scenario.endStream(key);
  const delivered = scenario
    .commandsOfType("deliverEvents")
    .flatMap(({ events }) => events.map(({ id }) => id));
  assert.deepEqual(delivered, [1, 2, 3]);
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
});

test("a stream whose engine is lost after events waits before it goes on", () => {
  const scenario = Scenario.create();
  scenario.request(key, streamPath);
  scenario.streamEvents(key, 1, 3);
  scenario.failAttempt(key, 0);
  assert.equal(scenario.commandsOfType("send").length, 2);
  scenario.connect(key);
  scenario.failAttempt(key, 1);
  scenario.answerStop({ type: "notFound" });
  assert.equal(scenario.commandsOfType("send").length, 3);
});
