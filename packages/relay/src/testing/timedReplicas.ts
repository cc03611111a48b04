/** Test harness: plain replicas that answer after times which the test sets, on a virtual clock. */

import { tickIntervalMs } from "../decisions/constants.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { RouterEntry } from "../decisions/types.js";
import {
  idempotentPath,
  okHead,
  plainService,
  routerAddress,
  Scenario,
  testReplica,
} from "./scenario.js";
import { VirtualClock } from "./virtualClock.js";

const zones = ["a", "b", "c"];
const usPerMs = 1000;

/** One request that a replica gets. */
export interface TimedRun {
  readonly replica: string;
  /** Number of the run, from 0. */
  readonly index: number;
  readonly at: number;
}

/** How replicas behave. */
export interface TimedOptions {
  readonly replicaCount: number;
  readonly share: number;
  /** Time until a replica answers, in milliseconds; undefined if it refuses, as it is full. */
  readonly answerMs: (run: TimedRun) => number | undefined;
}

/** Latency of an answered request, in whole microseconds. */
export interface Latency {
  readonly target: string;
  readonly ms: number;
}

/** What callers saw. */
export interface TimedResult {
  readonly latencies: readonly Latency[];
  readonly requestCount: number;
  readonly runCount: number;
}

/** One router and its replicas. */
export class TimedReplicas {
  readonly scenario: Scenario;
  readonly clock: VirtualClock;
  /** Latencies of the answered requests, in the order of their ends. */
  readonly latencies: Latency[] = [];
  readonly runs: TimedRun[] = [];
  requestCount = 0;
  /** Whether the store says nothing. */
  isStoreSilent = false;
  private readonly started = new Map<
    string,
    { readonly target: string; readonly at: number }
  >();
  private readonly abandoned = new Set<string>();

  private constructor(private readonly options: TimedOptions) {
    const replicas = Array.from(
      { length: options.replicaCount },
      (_, index) => `${zones[index % zones.length] ?? ""}-${String(index)}`,
    ).map((id) => testReplica(id, plainService));
    this.scenario = Scenario.create(replicas);
    const { at, state } = this.scenario;
    const entries: RouterEntry[] = [
      { router: "r1", lease: "l", address: routerAddress("r1"), zone: "a" },
    ];
    this.scenario.dispatch({ type: "routersRead", at, entries });
    state.runtimeLimits = {
      ...state.runtimeLimits,
      secondTryShare: options.share,
    };
    this.clock = VirtualClock.create(at);
    this.tick();
  }

  static create(options: TimedOptions): TimedReplicas {
    return new TimedReplicas(options);
  }

  /** Sends requests at even intervals and waits for their answers. */
  run(
    count: number,
    intervalMs: number,
    targetOf: (index: number) => string = () => idempotentPath,
    settleMs = 3000,
  ): TimedResult {
    const before = {
      latencies: this.latencies.length,
      runs: this.runs.length,
    };
    for (let index = 0; index < count; index += 1) {
      this.request(targetOf(index));
      this.clock.advanceTo(this.clock.now() + intervalMs);
    }
    this.clock.advanceTo(this.clock.now() + settleMs);
    return {
      latencies: this.latencies.slice(before.latencies),
      requestCount: count,
      runCount: this.runs.length - before.runs,
    };
  }

  /** Sends one request now; returns its key. */
  request(target = idempotentPath): string {
    this.requestCount += 1;
    const key = `k${String(this.requestCount)}`;
    this.scenario.at = this.clock.now();
    this.started.set(key, { target, at: this.clock.now() });
    this.perform(this.scenario.request(key, target));
    return key;
  }

  private tick(): void {
    this.clock.later(tickIntervalMs, () => {
      const at = this.clock.now();
      this.scenario.at = at;
      if (!this.isStoreSilent)
        this.scenario.dispatch({ type: "storeAnswered", at, detail: "" });
      this.perform(this.scenario.dispatch({ type: "timerTicked", at }));
      this.tick();
    });
  }

  private perform(commands: readonly RelayCommand[]): void {
    for (const command of commands) {
      if (command.type === "abandon")
        this.abandoned.add(`${command.key}/${String(command.attempt)}`);
      if (command.type === "send") this.start(command);
      if (command.type === "deliverResponse") this.end(command.key);
    }
  }

  private end(key: string): void {
    const started = this.started.get(key);
    if (started === undefined) throw new Error(`${key} was not sent`);
    const { target, at } = started;
    const ms = Math.round((this.clock.now() - at) * usPerMs) / usPerMs;
    this.latencies.push({ target, ms });
  }

  private start({
    key,
    attempt,
  }: Extract<RelayCommand, { readonly type: "send" }>): void {
    const { id } = attempt.replica;
    const run = { replica: id, index: this.runs.length, at: this.clock.now() };
    this.runs.push(run);
    const answerMs = this.options.answerMs(run);
    const isRefused = answerMs === undefined;
    const head = okHead(
      isRefused ? { status: 503, isNotExecuted: true } : undefined,
    );
    const answer = { head, body: new Uint8Array() };
    const { number } = attempt;
    const at = this.clock.now();
    this.perform(
      this.scenario.dispatch({
        type: "connectionOpened",
        at,
        key,
        attempt: number,
      }),
    );
    this.clock.later(answerMs ?? 1, () => {
      if (this.abandoned.has(`${key}/${String(number)}`)) return;
      this.scenario.at = this.clock.now();
      this.perform(
        this.scenario.dispatch({
          type: "responseReceived",
          at: this.clock.now(),
          key,
          attempt: number,
          answer,
        }),
      );
    });
  }
}
