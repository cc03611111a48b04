/** Test harness: several relays and simulated engines on one virtual clock. */

import { ConnectionOutcome, type Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import { tickIntervalMs } from "../decisions/constants.js";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import type { StopOutcome } from "../decisions/earlierRuns/types.js";
import type { RelayEvent } from "../decisions/events.js";
import { noticeEndOf } from "../decisions/plannedStop/noticeEnd.js";
import { AttemptFailure, type RelayState } from "../decisions/types.js";
import type { GossipItem } from "../decisions/gossip/types.js";
import type { StoredQuarantine } from "../decisions/quarantine/types.js";
import type { StoredVersions } from "../decisions/versions/types.js";
import type { Address, CallerRequest, RelayConfig } from "../types.js";
import {
  idempotentPath,
  okHead,
  routerAddress,
  streamPath,
  testConfig,
  testRequest,
} from "./scenario.js";
import { CutPaths, type PathCut } from "./cutPaths.js";
import { HandoverLinks } from "./handoverLinks.js";
import { DeliveredStreams } from "./deliveredStreams.js";
import {
  SimulatedReplicas,
  type ReplicaCounts,
  type SimulatedReplica,
} from "./simulatedReplicas.js";
import { VirtualClock } from "./virtualClock.js";

type CommandOf<Type extends RelayCommand["type"]> = Extract<
  RelayCommand,
  { readonly type: Type }
>;

/** How a request ended for its caller. */
export type Ending = "whole" | "cut" | number;

/** A request or question of a router to a replica. */
export interface Asked {
  readonly at: Timestamp;
  readonly router: string;
  readonly replica: string;
  readonly type: RelayCommand["type"];
}

/** Options of a fleet. */
export interface FleetOptions extends ReplicaCounts {
  readonly routerCount: number;
  readonly seed?: number;
}

const startAt = 1000;
const connectTimeoutMs = 250;
const probeTimeoutMs = 150;
const stopTimeoutMs = 1500;
const copyMs = 40;
const storeDelayMs = 1000;
const zones = ["a", "b", "c"];

/** Ids of the replicas that a command sends something to. */
const replicasAskedBy = (command: RelayCommand): string[] => {
  switch (command.type) {
    case "send": {
      const { replica, copyTo } = command.attempt;
      return copyTo === undefined ? [replica.id] : [replica.id, copyTo.id];
    }
    case "probe":
    case "probeAddress":
    case "listPromptBlocks":
      return [command.replica.id];
    case "copyKvCache":
      return [command.source.id, command.holder.id];
    case "stopRun":
      return [command.replica.id, command.holder.id];
    case "releaseCopy":
      return [command.copy.source.id];
    default:
      return [];
  }
};

/** Relays, engines and a store whose faults the test sets. */
export class Fleet {
  readonly states = new Map<string, RelayState>();
  readonly endings = new Map<string, Ending>();
  /** Events that callers received, by the key of each of their attempts. */
  readonly streams = new DeliveredStreams();
  readonly sent: CommandOf<"send">[] = [];
  /** All requests and questions to replicas, also those to keep or give a copy. */
  readonly asked: Asked[] = [];
  /** Times after which refused callers may come back, by the key of their request. */
  readonly retryAfterMs = new Map<string, number | undefined>();
  readonly logged: CommandOf<"log">[] = [];
  /** While the store is down, no router learns of restarted engines. */
  isStoreDown = false;
  /** Number of items of gossip that routers sent. */
  toldItemCount = 0;
  /** Routers whose links to the others are cut; they reach each other. */
  readonly cutRouters = new Set<string>();
  /** Quarantines in the store. */
  stored = new Map<string, StoredQuarantine>();
  /** Software versions in the store, by service. */
  versionWriteCount = 0;
  /** Number of questions and answers of routers about streams. */
  originMessageCount = 0;
  readonly storedVersions = new Map<string, StoredVersions>();
  private era = 1;
  private readonly clock = VirtualClock.create(startAt);
  private nextKey = 0;

  private readonly paths = CutPaths.create(this.clock);
  private readonly handovers = HandoverLinks.create(
    this.clock,
    (router, event) => {
      this.dispatch(router, event);
    },
  );
  /** Events that wait for routers whose process stands still. */
  private readonly paused = new Map<string, RelayEvent[]>();
  /** Number of requests that routers handed on. */
  handedOnCount = 0;

  readonly replicas: SimulatedReplicas;

  private constructor(private readonly options: FleetOptions) {
    this.replicas = SimulatedReplicas.create(
      this.clock,
      (router, service, event) => {
        this.paths.deliver(router, service, () => {
          this.dispatch(router, event);
        });
      },
      () => {
        this.later(storeDelayMs, () => {
          if (this.isStoreDown) return;
          for (const router of [...this.states.keys()]) this.readStore(router);
        });
      },
      options,
    );
  }

  static create(options: FleetOptions): Fleet {
    const fleet = new Fleet(options);
    for (let index = 0; index < options.routerCount; index += 1)
      fleet.startRouter(`r${String(index + 1)}`);
    return fleet;
  }

  /** Starts a router, or starts one again without its memory; requests that it took over break off. */
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
    this.handovers.breakAt(router);
    this.states.set(router, state);
    this.dispatch(router, { type: "storeAnswered", at, detail: "" });
    this.dispatch(router, { type: "configRead", at, config: testConfig() });
    for (const each of this.states.keys()) this.readStore(each);
    this.readQuarantines();
    this.readVersions();
  }

  /** Sends a request whose prompt has the given shared blocks to a router. */
  request(
    router: string,
    sharedPromptBlockIds: readonly string[],
    target = streamPath,
    changes: Partial<CallerRequest> = {},
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
        ...changes,
      },
    });
    return key;
  }

  /** The head of a stream arrives before its first event. */
  streamHead(router: string, key: string): void {
    const attempt = this.states.get(router)?.exchanges.get(key)?.attempt;
    if (attempt === undefined) throw new Error(`${key} has no attempt`);
    this.dispatch(router, {
      type: "streamStarted",
      at: this.at,
      key,
      attempt: attempt.number,
      head: okHead({ isStream: true }),
    });
  }

  /** Sends one more attempt of a caller at the same request. */
  requestAgain(
    router: string,
    fingerprint: string,
    target: string,
    sharedPromptBlockIds: readonly string[] = [],
  ): string {
    return this.request(router, sharedPromptBlockIds, target, { fingerprint });
  }

  /** Takes a stream up after the last event of the caller's earlier attempts; returns the key of the new one. */
  takeUp(router: string, key: string): string {
    const changes = this.streams.takeUpOf(key);
    const next = this.request(router, [], streamPath, changes);
    this.streams.goOn(key, next);
    return next;
  }

  /** Sends a request for which any plain replica will do. */
  requestPlain(router: string): string {
    return this.request(router, [], idempotentPath);
  }

  /** Current time of all routers and engines. */
  get at(): Timestamp {
    return this.clock.now();
  }

  /** Begins a planned stop of a router. */
  stopRouter(router: string, endsAt: Timestamp): void {
    const { at } = this;
    const noticeEndsAt = noticeEndOf(at, endsAt);
    this.dispatch(router, { type: "drainStarted", at, noticeEndsAt, endsAt });
  }

  /** Stops a router's process: what reaches it meanwhile waits. */
  pause(router: string): void {
    this.paused.set(router, []);
  }

  /** Lets a paused router go on; it handles the given actions before what has waited. */
  resume(router: string, first: () => void = () => undefined): void {
    const waiting = this.paused.get(router) ?? [];
    this.paused.delete(router);
    first();
    for (const event of waiting)
      this.dispatch(router, { ...event, at: this.at });
  }

  /** Advances the clock in timer ticks. */
  advance(ms: number): void {
    const until = this.at + ms;
    while (this.at < until) {
      this.clock.advanceTo(Math.min(until, this.at + tickIntervalMs));
      for (const router of [...this.states.keys()])
        this.dispatch(router, { type: "timerTicked", at: this.at });
    }
  }

  /** Ends engines at once; they are back under new ids after some seconds. */
  crash(engines: readonly SimulatedReplica[]): void {
    for (const engine of engines) this.replicas.endReplica(engine);
  }

  /** Attempts at a request that reached replicas later than a time. */
  arrivalsOf(fingerprint: string, after: Timestamp): number {
    return this.replicas.arrivals.filter(
      (one) => one.at > after && one.fingerprint === fingerprint,
    ).length;
  }

  /** Requests with a block that reached engines later than a time. */
  arrivalsAfter(at: Timestamp, blockId: string): number {
    return this.replicas.arrivals.filter(
      (one) => one.at > at && one.blockIds.includes(blockId),
    ).length;
  }

  private later(delayMs: number, run: () => void): void {
    this.clock.later(delayMs, run);
  }

  private dispatch(router: string, event: RelayEvent): void {
    const state = this.states.get(router);
    if (state === undefined) return;
    const waiting = this.paused.get(router);
    if (waiting !== undefined) {
      if (event.type !== "timerTicked") waiting.push(event);
      return;
    }
    const { commands } = decideRelay(state, event);
    for (const command of commands) this.perform(router, command);
  }

  /** Puts a configuration in force at routers. */
  applyConfig(config: RelayConfig, routers = [...this.states.keys()]): void {
    for (const router of routers)
      this.dispatch(router, { type: "configRead", at: this.at, config });
  }

  /** The store fails at all routers, or answers again. */
  noteStore(type: "storeFailed" | "storeAnswered"): void {
    for (const router of this.states.keys())
      this.dispatch(router, { type, at: this.at, detail: "" });
  }

  /** Tells a router the store's replicas, or those that are left of them, and its routers. */
  readStore(router: string, replicas = this.replicas.running()): void {
    const { at } = this;
    const entries = [...this.states.keys()].map((name) => ({
      router: name,
      lease: name,
      address: routerAddress(name),
      zone: this.states.get(name)?.zone,
    }));
    this.dispatch(router, { type: "replicasRead", at, replicas });
    this.dispatch(router, { type: "routersRead", at, entries });
  }

  private perform(router: string, command: RelayCommand): void {
    if (this.handovers.handBack(command)) return;
    const { at } = this;
    for (const replica of replicasAskedBy(command))
      this.asked.push({ at, router, replica, type: command.type });
    switch (command.type) {
      case "send":
        this.sent.push(command);
        this.send(router, command);
        return;
      case "abandon":
        this.replicas.abandon(`${command.key}/${String(command.attempt)}`);
        this.handovers.abandon(router, command.key, command.attempt);
        return;
      case "handOn":
        this.handedOnCount += 1;
        this.handovers.handOn(
          router,
          this.routerAt(command.to.port - 1),
          command,
        );
        return;
      case "askHandover":
        this.sendToRouter(router, command.to, (from, at) => ({
          type: "handoverAsked",
          at,
          from,
          services: command.services,
        }));
        return;
      case "offerHandover":
        this.sendToRouter(router, command.to, (from, at) => ({
          type: "handoverOffered",
          at,
          from,
          services: command.services,
          freePlaces: command.freePlaces,
        }));
        return;
      case "abandonUnconnected":
        this.abandonUnconnected(router, command);
        return;
      case "probe":
        this.probe(router, command);
        return;
      case "probeAddress":
        this.probeAddress(router, command);
        return;
      case "tellReturns":
        this.sendToRouter(router, command.to, (from, at) => ({
          type: "returnsTold",
          at,
          from,
          returned: command.returned,
        }));
        return;
      case "probeConnection":
        this.probeConnection(router, command);
        return;
      case "stopRun":
        this.stopRun(router, command);
        return;
      case "copyKvCache":
        this.copyKvCache(router, command);
        return;
      case "listPromptBlocks":
        this.listPromptBlocks(router, command);
        return;
      case "deliverEvents":
        this.streams.record(command);
        return;
      case "deliverResponse":
        this.endings.set(command.key, "whole");
        return;
      case "refuse":
        this.endings.set(command.key, command.status);
        this.retryAfterMs.set(command.key, command.retryAfterMs);
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
      case "borrowRetry":
      case "lendRetry":
        this.sendToRouter(router, command.to, (from, at) => ({
          type: command.type === "lendRetry" ? "retryLent" : "retryRequested",
          at,
          from,
          service: command.service,
        }));
        return;
      case "askOrigin":
        this.originMessageCount += 1;
        this.sendToRouter(router, command.to, (from, at) => ({
          type: "originAsked",
          at,
          from,
          key: command.key,
        }));
        return;
      case "tellOrigins":
        this.originMessageCount += 1;
        this.sendToRouter(router, command.to, (from, at) => ({
          type: "originsTold",
          at,
          from,
          origins: command.origins,
        }));
        return;
      case "storeVersions":
        if (this.isStoreDown) return;
        this.versionWriteCount += 1;
        this.storedVersions.set(command.entry.service, command.entry);
        this.later(storeDelayMs, () => {
          this.readVersions();
        });
        return;
      case "storeQuarantine":
        if (this.isStoreDown) return;
        this.stored.set(command.key, command.stored);
        this.later(storeDelayMs, () => {
          this.readQuarantines();
        });
        return;
      case "log":
        this.logged.push(command);
        return;
      default:
        return;
    }
  }

  /** Sends a request to its replica, if the router reaches it. */
  private send(router: string, command: CommandOf<"send">): void {
    const { attempt, key } = command;
    const { service } = attempt.replica;
    const fail = () => {
      this.failToConnect(router, command);
    };
    if (this.paths.failConnection(router, service, connectTimeoutMs, fail))
      return;
    this.later(1, () => {
      const opened = { at: this.at, key, attempt: attempt.number };
      if (this.replicas.isRunning(attempt.replica))
        this.dispatch(router, { type: "connectionOpened", ...opened });
      this.replicas.receive(router, command);
    });
  }

  /** Reports that no connection to an attempt's replica was established. */
  private failToConnect(router: string, command: CommandOf<"send">): void {
    if (!this.replicas.giveUp(command)) return;
    this.dispatch(router, {
      type: "attemptFailed",
      at: this.at,
      key: command.key,
      attempt: command.attempt.number,
      failure: AttemptFailure.NotSent,
      detail: "",
    });
  }

  private abandonUnconnected(
    router: string,
    { key, attempt }: CommandOf<"abandonUnconnected">,
  ): void {
    const send = this.sent.find(
      (one) => one.key === key && one.attempt.number === attempt,
    );
    if (send === undefined) return;
    this.later(0, () => {
      this.failToConnect(router, send);
    });
  }

  private probeAddress(
    router: string,
    { replica, healthCheckPath }: CommandOf<"probeAddress">,
  ): void {
    const { id, startedAt } = replica;
    const withId = healthCheckPath !== undefined;
    this.later(1, () => {
      const answer = this.replicas.answerAddress(replica, withId);
      const at = this.at;
      const type = "addressProbed";
      this.dispatch(router, { type, at, replica: id, startedAt, answer });
    });
  }

  private probe(router: string, command: CommandOf<"probe">): void {
    const { replica, sentAt } = command;
    const fail = (isRefused: boolean, isConnected = false) => {
      this.dispatch(router, {
        type: "probeFinished",
        at: this.at,
        replica: replica.id,
        sentAt,
        report: undefined,
        isAnswered: false,
        isRefused,
        isConnected,
      });
    };
    const { service } = replica;
    if (this.paths.failConnection(router, service, probeTimeoutMs, fail))
      return;
    if (this.replicas.isSilent(replica)) {
      this.later(probeTimeoutMs, () => {
        fail(false, true);
      });
      return;
    }
    this.later(1, () => {
      this.replicas.answerProbe(router, command);
    });
  }

  private probeConnection(
    router: string,
    command: CommandOf<"probeConnection">,
  ): void {
    const { replica, sentAt } = command;
    const fail = (isRefused: boolean) => {
      this.dispatch(router, {
        type: "connectionProbed",
        at: this.at,
        replica: replica.id,
        sentAt,
        outcome: isRefused
          ? ConnectionOutcome.Refused
          : ConnectionOutcome.Failed,
      });
    };
    const { service } = replica;
    if (this.paths.failConnection(router, service, probeTimeoutMs, fail))
      return;
    this.later(1, () => {
      this.replicas.answerConnection(router, command);
    });
  }

  /** Asks a replica to stop a run; one that stands still is not waited for longer than the call may take. */
  private stopRun(router: string, command: CommandOf<"stopRun">): void {
    const { key, attempt, replica, holder } = command;
    let isOver = false;
    const answer = (outcome: StopOutcome) => {
      if (isOver) return;
      isOver = true;
      const { at } = this;
      const type = "runStopped";
      this.dispatch(router, {
        type,
        at,
        key,
        attempt,
        replica,
        holder,
        outcome,
      });
    };
    const fail = (isRefused: boolean) => {
      answer(
        isRefused
          ? { type: "refused" }
          : { type: "unanswered", isConnected: false },
      );
    };
    const { service } = replica;
    if (this.paths.failConnection(router, service, probeTimeoutMs, fail))
      return;
    this.later(stopTimeoutMs, () => {
      answer({ type: "unanswered", isConnected: true });
    });
    this.later(1, () => {
      this.replicas.stopRun(command, answer);
    });
  }

  private copyKvCache(router: string, command: CommandOf<"copyKvCache">): void {
    const { key, attempt, holder, source } = command;
    const finish = (handle: string | undefined) => {
      const { at } = this;
      const type = "kvCacheCopied";
      this.dispatch(router, { type, at, key, attempt, holder, handle });
    };
    const fail = () => {
      finish(undefined);
    };
    const { service } = source;
    if (this.paths.failConnection(router, service, probeTimeoutMs, fail))
      return;
    this.later(copyMs, () => {
      finish(this.replicas.copyRun(command));
    });
  }

  private listPromptBlocks(
    router: string,
    { replica, withHistory }: CommandOf<"listPromptBlocks">,
  ): void {
    const list = (isReached: boolean) => {
      const promptBlocks = isReached
        ? this.replicas.promptBlocksOf(replica, withHistory)
        : undefined;
      this.dispatch(router, {
        type: "promptBlocksListed",
        at: this.at,
        replica: replica.id,
        promptBlocks,
      });
    };
    const fail = () => {
      list(false);
    };
    const { service } = replica;
    if (this.paths.failConnection(router, service, probeTimeoutMs, fail))
      return;
    this.later(1, () => {
      list(true);
    });
  }

  /** Cuts routers from the replicas of a service, or of all. */
  cutPaths(routers: readonly string[], how: PathCut, service?: string): void {
    for (const router of routers) {
      this.paths.cut(router, how, service);
      if (how === "reset") this.replicas.resetRouter(router, service);
    }
  }

  /** Ends the cuts of routers from replicas. */
  healPaths(routers: readonly string[]): void {
    for (const router of routers) this.paths.heal(router);
  }

  private tell(from: string, to: Address, items: readonly GossipItem[]): void {
    this.sendToRouter(from, to, (address, at) => ({
      type: "gossipReceived",
      at,
      from: address,
      items,
    }));
  }

  private routerAt(port: number): string | undefined {
    return [...this.states.keys()].find(
      (name) => routerAddress(name).port === port,
    );
  }

  /** Sends a message from one router to another. */
  private sendToRouter(
    from: string,
    to: Address,
    eventOf: (from: Address, at: Timestamp) => RelayEvent,
  ): void {
    const router = this.routerAt(to.port);
    if (router === undefined || this.isCut(from, router)) return;
    this.later(1, () => {
      this.dispatch(router, eventOf(routerAddress(from), this.at));
    });
  }

  /** Tells all routers the store's software versions. */
  readVersions(): void {
    if (this.isStoreDown) return;
    const { at } = this;
    const entries = [...this.storedVersions.values()];
    for (const router of this.states.keys())
      this.dispatch(router, { type: "versionsRead", at, entries });
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
    const { at, era } = this;
    const entries = [...this.stored.values()];
    for (const router of this.states.keys())
      this.dispatch(router, { type: "quarantinesRead", at, era, entries });
  }

  /** Blocks that the store shows as quarantined. */
  storedBlocks(): string[] {
    return [...this.stored.values()].flatMap(({ type, blockIds }) =>
      type === "held" ? blockIds : [],
    );
  }

  /** The store comes back with the quarantines of a copy. */
  restoreStore(copy: ReadonlyMap<string, StoredQuarantine>): void {
    const { at, era } = this;
    this.stored = new Map(copy);
    this.era += 1;
    for (const router of this.states.keys())
      this.dispatch(router, {
        type: "storeRestored",
        at,
        fromEra: era,
        toEra: this.era,
        source: "store",
        missingKeys: [],
        changedKeys: [],
      });
    this.readQuarantines();
  }
}
