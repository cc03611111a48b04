/** Test harness: several relays and simulated engines on one virtual clock. */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import type { RelayEvent } from "../decisions/events.js";
import { AttemptFailure, type RelayState } from "../decisions/types.js";
import type { GossipItem } from "../decisions/gossip/types.js";
import type { StoredQuarantine } from "../decisions/quarantine/types.js";
import type { Address, Replica } from "../types.js";
import {
  idempotentPath,
  idleReport,
  okHead,
  plainService,
  routerAddress,
  streamPath,
  testConfig,
  testReplica,
  testRequest,
} from "./scenario.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** An attempt that runs at a simulated engine. */
interface Run {
  readonly router: string;
  readonly command: SendCommand;
}

interface Engine {
  replica: Replica;
  isUp: boolean;
  readonly runs: Map<string, Run>;
}

interface Action {
  readonly at: Timestamp;
  readonly run: () => void;
}

/** How a request ended for its caller. */
export type Ending = "whole" | "cut" | number;

/** A request that reached a replica. */
export interface Arrival {
  readonly at: Timestamp;
  readonly key: string;
  readonly replica: string;
  readonly blockIds: readonly string[];
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly routerCount: number;
  readonly engineCount: number;
  readonly plainCount?: number;
  readonly seed?: number;
}

const plainAnswerMs = 43;
const prefillMs = 300;
const eventIntervalMs = 40;
const eventCount = 30;
const restartMs = 3000;
const storeDelayMs = 1000;
const zones = ["a", "b", "c"];

/** Relays, engines and a store whose faults the test sets. */
export class Fleet {
  at: Timestamp = 1000;
  readonly states = new Map<string, RelayState>();
  readonly engines: Engine[] = [];
  /** Prompt blocks under which an engine ends as soon as it begins to answer. */
  readonly crashingBlocks = new Set<string>();
  readonly arrivals: Arrival[] = [];
  /** Times at which engines ended under such a block. */
  readonly crashTimes: Timestamp[] = [];
  readonly endings = new Map<string, Ending>();
  readonly logged: Extract<RelayCommand, { readonly type: "log" }>[] = [];
  /** Keys of requests sent to an engine, by the number of attempts. */
  readonly attempts = new Map<string, number>();
  /** While the store is down, no router learns of restarted engines. */
  isStoreDown = false;
  /** Number of items of gossip that routers sent. */
  toldItemCount = 0;
  /** Routers whose links to the others are cut; they reach each other. */
  readonly cutRouters = new Set<string>();
  /** Quarantines in the store. */
  readonly stored = new Map<string, StoredQuarantine>();
  /** Attempts whose connection was closed, also while the request was on its way. */
  private readonly abandoned = new Set<string>();
  private actions: Action[] = [];
  private nextKey = 0;

  /** Limits of requests a second that replicas name, by id. */
  readonly requestLimits = new Map<string, number>();
  readonly plainReplicas: Replica[] = [];

  private constructor(private readonly options: FleetOptions) {
    for (let index = 0; index < (options.plainCount ?? 0); index += 1)
      this.plainReplicas.push(
        testReplica(
          `${zones[index % 3] ?? ""}-${String(900 + index)}`,
          plainService,
        ),
      );
    for (let index = 0; index < options.engineCount; index += 1)
      this.engines.push({
        replica: testReplica(`${zones[index % 3] ?? ""}-${String(index)}`),
        isUp: true,
        runs: new Map(),
      });
  }

  static create(options: FleetOptions): Fleet {
    const fleet = new Fleet(options);
    for (let index = 0; index < options.routerCount; index += 1)
      fleet.startRouter(`r${String(index + 1)}`);
    return fleet;
  }

  /** Starts a router, or starts one again without its memory. */
  startRouter(router: string): void {
    const { at } = this;
    const state = createRelayState({
      router,
      address: routerAddress(router),
      zone: zones[this.states.size % 3] ?? "",
      startedAt: -Infinity,
      seed: (this.options.seed ?? 1) + Number(router.slice(1)),
      runtimeLimits: {
        drainTimeoutMs: 2000,
        retryLimits: { ratio: 0.8, extraRetryCount: 150, windowMs: 10_000 },
      },
    });
    this.states.set(router, state);
    this.dispatch(router, { type: "storeAnswered", at, detail: "" });
    this.dispatch(router, { type: "configRead", at, config: testConfig() });
    for (const each of this.states.keys()) this.readStore(each);
    this.readQuarantines();
  }

  /** Sends a request whose prompt has the given shared blocks to a router. */
  request(
    router: string,
    sharedPromptBlockIds: readonly string[],
    target = streamPath,
  ): string {
    this.nextKey += 1;
    const key = `k${String(this.nextKey)}`;
    this.dispatch(router, {
      type: "requestArrived",
      at: this.at,
      key,
      request: {
        ...testRequest(key, target, this.at),
        sharedPromptBlockIds,
        lastPromptBlockId: target === streamPath ? `own-${key}` : undefined,
      },
    });
    return key;
  }

  /** Advances the clock in timer ticks. */
  advance(ms: number): void {
    const until = this.at + ms;
    while (this.at < until) {
      const nextTick = Math.min(until, this.at + 25);
      this.runActions(nextTick);
      this.at = nextTick;
      for (const router of [...this.states.keys()])
        this.dispatch(router, { type: "timerTicked", at: this.at });
    }
  }

  /** Ends engines at once; they are back under new ids after some seconds. */
  crash(engines: readonly Engine[]): void {
    for (const engine of engines) this.endEngine(engine);
  }

  /** Resets the connections of an engine that goes on running. */
  resetConnections(engine: Engine): void {
    const runs = [...engine.runs.values()];
    engine.runs.clear();
    for (const run of runs) this.breakRun(run);
  }

  /** Requests with a block that reached engines later than a time. */
  arrivalsAfter(at: Timestamp, blockId: string): number {
    return this.arrivals.filter(
      (one) => one.at > at && one.blockIds.includes(blockId),
    ).length;
  }

  private later(delayMs: number, run: () => void): void {
    this.actions.push({ at: this.at + delayMs, run });
  }

  private runActions(until: Timestamp): void {
    for (;;) {
      const due = this.actions
        .filter(({ at }) => at <= until)
        .sort((a, b) => a.at - b.at)[0];
      if (due === undefined) return;
      this.actions = this.actions.filter((action) => action !== due);
      this.at = Math.max(this.at, due.at);
      due.run();
    }
  }

  private dispatch(router: string, event: RelayEvent): void {
    const state = this.states.get(router);
    if (state === undefined) return;
    const { commands } = decideRelay(state, event);
    for (const command of commands) this.perform(router, command);
  }

  /** Tells a router the store's replicas and routers. */
  readStore(router: string): void {
    const { at } = this;
    const replicas = this.engines
      .filter(({ isUp }) => isUp)
      .map(({ replica }) => replica)
      .concat(this.plainReplicas);
    const entries = [...this.states.keys()].map((name) => ({
      router: name,
      lease: name,
      address: routerAddress(name),
    }));
    this.dispatch(router, { type: "replicasRead", at, replicas });
    this.dispatch(router, { type: "routersRead", at, entries });
  }

  private perform(router: string, command: RelayCommand): void {
    switch (command.type) {
      case "send":
        this.later(1, () => {
          this.receive(router, command);
        });
        return;
      case "abandon":
        this.abandon(`${command.key}/${String(command.attempt)}`);
        return;
      case "probe":
        this.later(1, () => {
          this.answerProbe(router, command);
        });
        return;
      case "listPromptBlocks":
        this.later(1, () => {
          const { at } = this;
          const replica = command.replica.id;
          const promptBlocks = new Map<string, number>();
          this.dispatch(router, {
            type: "promptBlocksListed",
            at,
            replica,
            promptBlocks,
          });
        });
        return;
      case "deliverResponse":
        this.endings.set(command.key, "whole");
        return;
      case "refuse":
        this.endings.set(command.key, command.status);
        return;
      case "finishStream":
        this.endings.set(command.key, "whole");
        return;
      case "abortStream":
        this.endings.set(command.key, "cut");
        return;
      case "gossip":
        this.toldItemCount += command.items.length;
        this.tell(router, command.to, command.items);
        return;
      case "storeQuarantine":
        if (this.isStoreDown) return;
        this.stored.set(command.key, command.stored);
        this.later(storeDelayMs, () => {
          this.readQuarantines();
        });
        return;
      case "removeQuarantine":
        if (!this.isStoreDown) this.stored.delete(command.key);
        return;
      case "log":
        this.logged.push(command);
        return;
      default:
        return;
    }
  }

  private tell(from: string, to: Address, items: readonly GossipItem[]): void {
    const router = [...this.states.keys()].find(
      (name) => routerAddress(name).port === to.port,
    );
    if (router === undefined || this.isCut(from, router)) return;
    this.later(1, () => {
      this.receiveGossip(router, from, items);
    });
  }

  /** A router receives items of gossip from another one. */
  receiveGossip(
    router: string,
    from: string,
    items: readonly GossipItem[],
  ): void {
    const { at } = this;
    const address = routerAddress(from);
    this.dispatch(router, { type: "gossipReceived", at, from: address, items });
  }

  private isCut(a: string, b: string): boolean {
    return this.cutRouters.has(a) !== this.cutRouters.has(b);
  }

  /** Tells all routers the store's quarantines. */
  readQuarantines(): void {
    if (this.isStoreDown) return;
    const entries = [...this.stored.values()];
    for (const router of this.states.keys())
      this.dispatch(router, { type: "quarantinesRead", at: this.at, entries });
  }

  private engineOf({ id }: Replica): Engine | undefined {
    return this.engines.find(({ replica, isUp }) => isUp && replica.id === id);
  }

  private headOf({ id }: Replica, isStream: boolean) {
    const requestLimitPerS = this.requestLimits.get(id);
    return okHead({ isStream, requestLimitPerS });
  }

  private receivePlain(router: string, { key, attempt }: SendCommand): void {
    const replica = attempt.replica.id;
    this.arrivals.push({ at: this.at, key, replica, blockIds: [] });
    this.later(plainAnswerMs, () => {
      const head = this.headOf(attempt.replica, false);
      this.dispatch(router, {
        type: "responseReceived",
        at: this.at,
        key,
        attempt: attempt.number,
        answer: { head, body: new Uint8Array() },
      });
    });
  }

  /** Sends a request for which any plain replica will do. */
  requestPlain(router: string): string {
    return this.request(router, [], idempotentPath);
  }

  private abandon(name: string): void {
    this.abandoned.add(name);
    for (const { runs } of this.engines) runs.delete(name);
  }

  private receive(router: string, command: SendCommand): void {
    const { key, attempt, request } = command;
    if (attempt.replica.service === plainService) {
      this.receivePlain(router, command);
      return;
    }
    const engine = this.engineOf(attempt.replica);
    if (engine === undefined) {
      this.fail(router, command, AttemptFailure.NotSent);
      return;
    }
    const run = { router, command };
    const name = `${key}/${String(attempt.number)}`;
    if (this.abandoned.has(name)) return;
    engine.runs.set(name, run);
    this.attempts.set(key, (this.attempts.get(key) ?? 0) + 1);
    const { sharedPromptBlockIds: blockIds } = request;
    this.arrivals.push({
      at: this.at,
      key,
      replica: attempt.replica.id,
      blockIds,
    });
    this.later(prefillMs, () => {
      if (engine.runs.get(name) === run) this.begin(engine, name, run);
    });
  }

  private begin(engine: Engine, name: string, run: Run): void {
    const { sharedPromptBlockIds } = run.command.request;
    if (sharedPromptBlockIds.some((id) => this.crashingBlocks.has(id))) {
      this.crashTimes.push(this.at);
      this.endEngine(engine);
      return;
    }
    const { router, command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    const head = this.headOf(command.attempt.replica, true);
    this.dispatch(router, {
      type: "streamStarted",
      at: this.at,
      key,
      attempt,
      head,
    });
    this.emit(engine, name, run, (command.lastEventId ?? 0) + 1);
  }

  private emit(engine: Engine, name: string, run: Run, id: number): void {
    if (engine.runs.get(name) !== run) return;
    const { router, command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    const events = [{ id, bytes: new Uint8Array() }];
    this.dispatch(router, {
      type: "eventsArrived",
      at: this.at,
      key,
      attempt,
      events,
    });
    if (id < eventCount) {
      this.later(eventIntervalMs, () => {
        this.emit(engine, name, run, id + 1);
      });
      return;
    }
    engine.runs.delete(name);
    this.dispatch(router, { type: "streamEnded", at: this.at, key, attempt });
  }

  private endEngine(engine: Engine): void {
    const runs = [...engine.runs.values()];
    engine.runs.clear();
    engine.isUp = false;
    for (const run of runs) this.breakRun(run);
    this.later(restartMs, () => {
      const { replica } = engine;
      const id = `${replica.id}0`;
      engine.replica = { ...replica, id, startedAt: this.at };
      engine.isUp = true;
      this.later(storeDelayMs, () => {
        if (this.isStoreDown) return;
        for (const router of [...this.states.keys()]) this.readStore(router);
      });
    });
  }

  private breakRun({ router, command }: Run): void {
    this.later(1, () => {
      this.fail(router, command, AttemptFailure.Broken);
    });
  }

  private fail(
    router: string,
    { key, attempt }: SendCommand,
    failure: AttemptFailure,
  ): void {
    this.dispatch(router, {
      type: "attemptFailed",
      at: this.at,
      key,
      attempt: attempt.number,
      failure,
      detail: "",
    });
  }

  private answerProbe(
    router: string,
    {
      replica,
      sentAt,
    }: { readonly replica: Replica; readonly sentAt: Timestamp },
  ): void {
    const { host, port } = replica;
    const engine = this.engines.find(
      (one) =>
        one.isUp && one.replica.host === host && one.replica.port === port,
    );
    this.dispatch(router, {
      type: "probeFinished",
      at: this.at,
      replica: replica.id,
      sentAt,
      report: engine && {
        ...idleReport,
        startedAt: engine.replica.startedAt,
      },
      isAnswered: engine !== undefined,
      isRefused: engine === undefined,
    });
  }
}
