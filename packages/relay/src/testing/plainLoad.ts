/** Test harness: routers that send requests to replicas with slots and queues, on a virtual clock. */

import { nextRandom, seedRandom, type Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import type { RelayEvent } from "../decisions/events.js";
import type { RelayState } from "../decisions/types.js";
import { QueuedReplica } from "./queuedReplica.js";
import {
  nonIdempotentPath,
  okHead,
  plainService,
  testConfig,
  testReplica,
  testRequest,
} from "./scenario.js";
import { testStateOptions } from "./testStateOptions.js";
import { VirtualClock } from "./virtualClock.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** How a request ended for its caller, who comes back once after a refusal. */
export interface CallerEnd {
  readonly arrivedAt: Timestamp;
  readonly tookMs: number;
  readonly isAnswered: boolean;
}

/** The load and the replicas' speeds, which a test sets. */
export interface PlainLoadOptions {
  readonly routerCount: number;
  /** Requests a second of all routers, by the time since the start. */
  readonly perS: (ms: number) => number;
  /** Factor of a replica's times; Infinity while it is lost. */
  readonly slowness: (replica: string, ms: number) => number;
  readonly seed: number;
  /** Time since the start at which one replica leaves; none does if undefined. */
  readonly leavesAtMs?: number;
  readonly path?: string;
}

const zones = ["a", "b", "c"];
const startAt = 1000;
const tickMs = 25;
const workMs = 43;
const slots = 6;
const wayMs = 1;
const shareDelayMs = 200;
const defaultRetryMs = 100;

/** Routers, callers and three replicas of one plain service. */
export class PlainLoad {
  readonly ends: CallerEnd[] = [];
  /** Attempts that reached a replica, and those that it turned away. */
  arrivals = 0;
  rejected = 0;
  private readonly clock = VirtualClock.create(startAt);
  private readonly states = new Map<string, RelayState>();
  private readonly desks = new Map<string, QueuedReplica>();
  private readonly callers = new Map<
    string,
    { readonly arrivedAt: Timestamp; readonly isSecond: boolean }
  >();
  private generator;
  private nextKey = 0;

  private constructor(private readonly options: PlainLoadOptions) {
    this.generator = seedRandom(options.seed);
    for (const zone of zones) {
      const replica = testReplica(`${zone}-9`, plainService, { zone, slots });
      const drawWorkMs = () =>
        workMs *
        (0.5 + this.random()) *
        options.slowness(replica.id, this.elapsedMs);
      const desk = QueuedReplica.create(replica, this.clock, drawWorkMs);
      this.desks.set(replica.id, desk);
    }
    for (let index = 0; index < options.routerCount; index += 1)
      this.startRouter(`r${String(index)}`, zones[index % 3] ?? "");
    this.readReplicas(zones.length);
  }

  static create(options: PlainLoadOptions): PlainLoad {
    return new PlainLoad(options);
  }

  /** Lets callers send for a time. */
  run(ms: number): void {
    const until = this.clock.now() + ms;
    const { leavesAtMs } = this.options;
    if (leavesAtMs !== undefined)
      this.clock.later(leavesAtMs, () => {
        this.readReplicas(zones.length - 1);
      });
    this.sendNext(until);
    while (this.clock.now() < until) {
      this.clock.advanceTo(this.clock.now() + tickMs);
      const at = this.clock.now();
      for (const router of this.states.keys())
        this.dispatch(router, { type: "timerTicked", at });
    }
  }

  /** Share of the requests that arrived in a time, counted from the start, and were answered in another. */
  shareInTime(fromMs: number, toMs: number, aimMs: number): number {
    const owed = this.ends.filter(
      ({ arrivedAt }) =>
        arrivedAt >= startAt + fromMs && arrivedAt < startAt + toMs,
    );
    const inTime = owed.filter(
      ({ isAnswered, tookMs }) => isAnswered && tookMs <= aimMs,
    );
    return inTime.length / Math.max(1, owed.length);
  }

  private random(): number {
    const drawn = nextRandom(this.generator);
    this.generator = drawn.state;
    return drawn.value;
  }

  /** A router; the first zone has more callers than the others. */
  private drawRouter(): string {
    const drawn = this.random();
    const zone = drawn < 0.4 ? 0 : drawn < 0.68 ? 1 : 2;
    const perZone = Math.floor(this.states.size / zones.length);
    const index = Math.floor(this.random() * perZone);
    return `r${String(zones.length * index + zone)}`;
  }

  private startRouter(router: string, zone: string): void {
    const seed = this.options.seed + this.states.size;
    const options = { ...testStateOptions(router), startedAt: -Infinity };
    const state = createRelayState({ ...options, zone, seed });
    this.states.set(router, state);
    const at = startAt;
    this.dispatch(router, { type: "storeAnswered", at, detail: "" });
    this.dispatch(router, { type: "configRead", at, config: testConfig() });
  }

  /** All routers read the first replicas from the store. */
  private readReplicas(count: number): void {
    const all = [...this.desks.values()].map(({ replica }) => replica);
    const replicas = all.slice(0, count);
    const at = this.clock.now();
    for (const router of this.states.keys())
      this.dispatch(router, { type: "replicasRead", at, replicas });
  }

  private dispatch(router: string, event: RelayEvent): void {
    const state = this.states.get(router);
    if (state === undefined) return;
    for (const command of decideRelay(state, event).commands)
      this.execute(router, command);
  }

  private execute(router: string, command: RelayCommand): void {
    switch (command.type) {
      case "send":
        this.clock.later(wayMs, () => {
          this.arrive(router, command);
        });
        return;
      case "deliverResponse":
        this.end(command.key, command.answer.head.status < 500);
        return;
      case "refuse":
        this.comeBack(command.key, command.retryAfterMs ?? defaultRetryMs);
        return;
      case "shareOutcomes":
        this.clock.later(shareDelayMs, () => {
          this.tellOthers(router, command.outcomes);
        });
        return;
      default:
        return;
    }
  }

  private tellOthers(
    from: string,
    outcomes: Extract<
      RelayCommand,
      { readonly type: "shareOutcomes" }
    >["outcomes"],
  ): void {
    const at = this.clock.now();
    const zone = this.states.get(from)?.zone;
    for (const [router, state] of this.states)
      if (router !== from && state.zone === zone)
        this.dispatch(router, { type: "outcomesShared", at, outcomes });
  }

  private get elapsedMs(): number {
    return this.clock.now() - startAt;
  }

  private sendNext(until: Timestamp): void {
    const gapMs =
      (-Math.log(1 - this.random()) * 1000) / this.options.perS(this.elapsedMs);
    this.clock.later(gapMs, () => {
      if (this.clock.now() >= until) return;
      this.call({ arrivedAt: this.clock.now(), isSecond: false });
      this.sendNext(until);
    });
  }

  private call(caller: {
    readonly arrivedAt: Timestamp;
    readonly isSecond: boolean;
  }): void {
    const at = this.clock.now();
    const key = `k${String(this.nextKey)}`;
    this.nextKey += 1;
    this.callers.set(key, caller);
    const { path = nonIdempotentPath } = this.options;
    const request = testRequest(key, path, at);
    const router = this.drawRouter();
    this.dispatch(router, { type: "requestArrived", at, key, request });
  }

  private end(key: string, isAnswered: boolean): void {
    const caller = this.callers.get(key);
    if (caller === undefined) return;
    this.callers.delete(key);
    const { arrivedAt } = caller;
    const tookMs = this.clock.now() - arrivedAt;
    this.ends.push({ arrivedAt, tookMs, isAnswered });
  }

  private comeBack(key: string, afterMs: number): void {
    const caller = this.callers.get(key);
    if (caller === undefined) return;
    if (caller.isSecond) {
      this.end(key, false);
      return;
    }
    this.callers.delete(key);
    this.clock.later(afterMs, () => {
      this.call({ ...caller, isSecond: true });
    });
  }

  private arrive(router: string, { key, attempt }: SendCommand): void {
    const desk = this.desks.get(attempt.replica.id);
    if (desk === undefined) return;
    this.arrivals += 1;
    const isTaken = desk.take(() => {
      this.answer(router, key, attempt.number, false);
    });
    if (isTaken) return;
    this.rejected += 1;
    this.answer(router, key, attempt.number, true);
  }

  private answer(
    router: string,
    key: string,
    attempt: number,
    isRejected: boolean,
  ): void {
    const head = okHead(isRejected ? { status: 503, isNotExecuted: true } : {});
    this.clock.later(wayMs, () => {
      this.dispatch(router, {
        type: "responseReceived",
        at: this.clock.now(),
        key,
        attempt,
        answer: { head, body: new Uint8Array() },
      });
    });
  }
}
