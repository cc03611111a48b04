/** Random interleavings of what replicas, routers and the caller of one request do. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConnectionOutcome } from "@cardamomglade/common";
import {
  engines,
  idempotentPath,
  idleReport,
  okHead,
  plainService,
  routerAddress,
  Scenario,
  streamPath,
} from "../../testing/scenario.js";
import type { RelayCommand } from "../commands.js";
import { AttemptFailure } from "../types.js";

const key = "1";
const runCount = 300;
const seed = 45;
const streamEventCount = 12;
const maxRequestMs = 30_000;
const routers = ["r1", "r2", "r3"];

/** What happens next; `pick` selects the attempt or probe that it happens to. */
interface Step {
  readonly type:
    | "connect"
    | "head"
    | "events"
    | "finish"
    | "refuse"
    | "fail"
    | "break"
    | "loseConnection"
    | "probeSilent"
    | "probeAnswered"
    | "probeRefused"
    | "copied"
    | "offer"
    | "lend"
    | "wait"
    | "leave";
  readonly pick: number;
  readonly ms: number;
}

/** An attempt as its replica or router sees it. */
interface OpenAttempt {
  readonly number: number;
  readonly isRouter: boolean;
  lastEventId: number;
  isConnected: boolean;
  hasHead: boolean;
}

const endTypes = [
  "finishStream",
  "abortStream",
  "deliverResponse",
  "refuse",
] as const;

const isEnd = ({ type }: RelayCommand): boolean =>
  endTypes.some((one) => one === type);

/** Replicas and routers of one request; checks each command of the relay. */
class World {
  readonly scenario = Scenario.create();
  readonly open = new Map<number, OpenAttempt>();
  private readonly seen = { commands: 0, lastEventId: 0, ends: 0 };
  private hasLeft = false;

  constructor(private readonly path: string) {
    this.scenario.routersRead(routers);
    this.scenario.request(key, path);
    this.check();
  }

  private get isStream(): boolean {
    return this.path === streamPath;
  }

  private onSent(number: number, lastEventId: number, isRouter: boolean): void {
    assert.equal(this.seen.ends, 0, "sent after its end");
    assert.ok(!this.hasLeft, "sent after its caller left");
    this.open.set(number, {
      number,
      isRouter,
      lastEventId,
      isConnected: false,
      hasHead: false,
    });
  }

  private checkCommand(command: RelayCommand): void {
    switch (command.type) {
      case "send":
        this.onSent(command.attempt.number, command.lastEventId ?? 0, false);
        break;
      case "handOn":
        this.onSent(command.attempt, command.lastEventId ?? 0, true);
        break;
      case "abandon":
        this.open.delete(command.attempt);
        break;
      case "deliverEvents":
        for (const { id } of command.events) {
          assert.equal(id, this.seen.lastEventId + 1, "order of events");
          this.seen.lastEventId = id;
        }
        break;
      default:
    }
    if (command.type === "log")
      assert.notEqual(command.message, "a decision failed");
    if (!isEnd(command)) return;
    this.seen.ends += 1;
    assert.equal(this.seen.ends, 1, "a second end");
    if (command.type === "finishStream")
      assert.equal(this.seen.lastEventId, streamEventCount, "whole");
  }

  /** Checks the commands since the last time, and what holds after each step. */
  check(): void {
    const { commands, state } = this.scenario;
    const before = this.seen.lastEventId;
    for (const command of commands.slice(this.seen.commands))
      this.checkCommand(command);
    this.seen.commands = commands.length;
    if (this.seen.lastEventId > before)
      assert.equal(
        state.exchanges.get(key)?.fallback,
        undefined,
        "two replicas at work after the next event",
      );
    assert.ok(this.open.size <= 2, "more than two attempts are open");
    const exchange = state.exchanges.get(key);
    const isOver = this.seen.ends > 0 || this.hasLeft;
    assert.equal(exchange === undefined, isOver, "kept until its end");
    const known = [
      exchange?.attempt?.number,
      exchange?.fallback?.attempt.number,
      exchange?.wait.type === "router"
        ? exchange.wait.attempt.number
        : undefined,
    ].filter((number) => number !== undefined);
    const ending = exchange?.attempt?.unconfirmedEnd && exchange.attempt.number;
    const open = new Set([
      ...this.open.keys(),
      ...(ending === undefined ? [] : [ending]),
    ]);
    assert.deepEqual([...open].sort(), known.sort(), "open attempts");
    const counted = [...state.replicas.values()].reduce(
      (sum, { inFlight }) => sum + inFlight,
      0,
    );
    const prefilling = [...state.replicas.values()].reduce(
      (sum, view) => sum + view.prefilling,
      0,
    );
    const routerCount = exchange?.wait.type === "router" ? 1 : 0;
    assert.equal(counted, known.length - routerCount, "work at replicas");
    assert.ok(prefilling <= counted, "prefilling");
  }

  private pickAttempt(pick: number): OpenAttempt | undefined {
    const all = [...this.open.values()];
    return all[pick % Math.max(1, all.length)];
  }

  private failed(one: OpenAttempt, failure: AttemptFailure): void {
    this.open.delete(one.number);
    this.scenario.failAttempt(key, one.number, failure);
  }

  private connect(one: OpenAttempt): void {
    const { at } = this.scenario;
    if (one.isConnected) return;
    one.isConnected = true;
    this.scenario.dispatch({
      type: "connectionOpened",
      at,
      key,
      attempt: one.number,
    });
  }

  private sendHead(one: OpenAttempt): void {
    if (one.hasHead || !this.isStream) return;
    this.connect(one);
    one.hasHead = true;
    const head = okHead({ isStream: true });
    const { at } = this.scenario;
    this.scenario.dispatch({
      type: "streamStarted",
      at,
      key,
      attempt: one.number,
      head,
    });
  }

  private sendEvents(one: OpenAttempt, ms: number): void {
    const count = Math.min(1 + (ms % 3), streamEventCount - one.lastEventId);
    this.sendHead(one);
    if (!this.open.has(one.number) || count <= 0 || !this.isStream) return;
    const isRepeated = ms % 5 === 0 && one.lastEventId > 0;
    const from = one.lastEventId + (isRepeated ? 0 : 1);
    one.lastEventId += count;
    const events = Array.from(
      { length: one.lastEventId - from + 1 },
      (_, index) => ({ id: from + index, bytes: new Uint8Array() }),
    );
    const { at } = this.scenario;
    this.scenario.dispatch({
      type: "eventsArrived",
      at,
      key,
      attempt: one.number,
      events,
    });
  }

  private answer(one: OpenAttempt, status: number, isNotExecuted: boolean) {
    if (one.hasHead) return;
    this.connect(one);
    this.open.delete(one.number);
    const answer = {
      head: okHead({ status, isNotExecuted }),
      body: new Uint8Array(),
    };
    const { at } = this.scenario;
    this.scenario.dispatch({
      type: "responseReceived",
      at,
      key,
      attempt: one.number,
      answer,
    });
  }

  private finish(one: OpenAttempt): void {
    if (!this.isStream) {
      this.answer(one, 200, false);
      return;
    }
    while (this.open.has(one.number) && one.lastEventId < streamEventCount) {
      this.sendEvents(one, 2);
      this.check();
    }
    this.sendHead(one);
    this.check();
    if (!this.open.delete(one.number)) return;
    const { at } = this.scenario;
    this.scenario.dispatch({
      type: "streamEnded",
      at,
      key,
      attempt: one.number,
    });
  }

  /** Ends the probe of the active attempt's replica, and then the latest connections that were tried. */
  private endProbe(
    { pick, ms }: Step,
    isAnswered: boolean,
    isRefused: boolean,
  ): void {
    const { scenario } = this;
    const replica = scenario.state.exchanges.get(key)?.attempt?.replica;
    const view = replica && scenario.state.replicas.get(replica.id);
    if (replica === undefined || view?.probeSentAt === undefined) return;
    const run = { requestId: `id-${key}`, generatedEventCount: ms % 15 };
    const answer = { isAnswered, isRefused };
    const report = { ...idleReport, runs: [run] };
    scenario.probeFinished(
      replica,
      view.probeSentAt,
      isAnswered ? { ...answer, report } : answer,
    );
    const outcome =
      pick % 2 === 0 ? ConnectionOutcome.Failed : ConnectionOutcome.Connected;
    for (const probe of scenario.commandsOfType("probeConnection").slice(-2))
      scenario.dispatch({
        type: "connectionProbed",
        at: scenario.at,
        replica: probe.replica.id,
        sentAt: probe.sentAt,
        outcome,
      });
  }

  private act(step: Step): void {
    const { scenario } = this;
    const { at } = scenario;
    const one = this.pickAttempt(step.pick);
    switch (step.type) {
      case "probeSilent":
        this.endProbe(step, false, false);
        return;
      case "probeAnswered":
        this.endProbe(step, true, false);
        return;
      case "probeRefused":
        this.endProbe(step, false, true);
        return;
      case "offer":
        scenario.dispatch({
          type: "handoverOffered",
          at,
          from: routerAddress("r2"),
          services: [engines, plainService],
          freePlaces: 5,
        });
        return;
      case "lend":
        scenario.dispatch({
          type: "retryLent",
          at,
          from: routerAddress("r2"),
          service: engines,
        });
        return;
      case "wait":
        scenario.advance(step.ms);
        return;
      case "leave":
        if (step.pick !== 0 || this.seen.ends > 0 || this.hasLeft) return;
        this.hasLeft = true;
        scenario.dispatch({ type: "callerDisconnected", at, key });
        return;
      default:
    }
    if (one === undefined) return;
    switch (step.type) {
      case "connect":
        this.connect(one);
        return;
      case "head":
        this.sendHead(one);
        return;
      case "events":
        this.sendEvents(one, step.ms);
        return;
      case "finish":
        this.finish(one);
        return;
      case "refuse":
        this.answer(one, 503, true);
        return;
      case "fail":
        this.answer(one, 500, false);
        return;
      case "break":
        this.failed(one, AttemptFailure.Broken);
        return;
      case "loseConnection":
        if (!one.isConnected) this.failed(one, AttemptFailure.NotSent);
        return;
      case "copied": {
        const copy = scenario.commandsOfType("copyKvCache").at(-1);
        if (copy === undefined) return;
        const { holder, attempt } = copy;
        scenario.dispatch({
          type: "kvCacheCopied",
          at,
          key,
          attempt,
          holder,
          handle: step.pick % 2 === 0 ? "h" : undefined,
        });
        return;
      }
      default:
    }
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      this.act(step);
      this.check();
    }
    this.scenario.advance(maxRequestMs);
    this.check();
    assert.ok(this.seen.ends === 1 || this.hasLeft, "no end");
    assert.equal(this.open.size, 0);
  }
}

const stepOf = fc.record<Step>({
  type: fc.constantFrom<Step["type"]>(
    "connect",
    "head",
    "events",
    "events",
    "finish",
    "refuse",
    "refuse",
    "fail",
    "break",
    "loseConnection",
    "probeSilent",
    "probeSilent",
    "probeSilent",
    "probeAnswered",
    "probeRefused",
    "copied",
    "offer",
    "lend",
    "wait",
    "wait",
    "wait",
    "wait",
    "leave",
  ),
  pick: fc.nat({ max: 3 }),
  ms: fc.integer({ min: 1, max: 600 }),
});

const steps = fc.array(stepOf, { minLength: 20, maxLength: 60, size: "max" });

for (const path of [streamPath, idempotentPath])
  test(`an interleaving of events leaves ${path} with an open attempt, two ends or events out of order`, () => {
    const property = fc.property(steps, (all) => {
      new World(path).run(all);
    });
    fc.assert(property, { numRuns: runCount, seed });
  });
