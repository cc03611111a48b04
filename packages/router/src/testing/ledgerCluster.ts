/** Routers, a key-value service and a plain service under faults on a virtual clock. */

import { Ran } from "@cardamomglade/common";
import type { Commit, ShardEvent } from "@cardamomglade/decisions";
import { CallMethod, BackEndType, type Intent } from "@cardamomglade/schema";
import { createRouterState, decide } from "../decide.js";
import type {
  RouterCommand,
  RouterCommandOf,
  RouterEvent,
  RouterState,
} from "../types.js";
import { FakeStore } from "./fakeStore.js";
import { performLeaseCall } from "./fakeLeaseCalls.js";
import { Simulation } from "./simulation.js";

/** One run at the plain service. */
export interface Run {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  readonly at: number;
}

/** One call of a client and its answer. */
export interface ClientCall {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  readonly sentAt: number;
  ran: Ran | undefined;
  /** The answer's body, or the type of the error. */
  answer: string | undefined;
}

/** A router of the run. */
export interface SimulatedRouter {
  readonly name: string;
  /** Its clock, against the virtual one. */
  clockOffset: number;
  state: RouterState;
  pausedUntil: number;
  isDead: boolean;
  /** Moment until which it cannot reach the key-value service. */
  cutUntil: number;
}

const tickMs = 50;
const drainMs = 4000;
const callTimeoutMs = 3000;
const maxClockOffsetMs = 3_600_000;
const customer = "stall";

const intent: Intent = {
  customers: [],
  models: [],
  backEnds: [
    {
      name: "desk",
      type: BackEndType.Service,
      url: "http://desk",
      host: "host-desk",
      zone: "a",
      region: "r",
      checksFencing: false,
      slots: 32,
    },
  ],
  deployments: [],
  services: [
    {
      name: "bookings",
      backEnds: ["desk"],
      customers: [customer],
      nonRepeatable: [{ method: CallMethod.Post, path: "/book" }],
      timeoutMs: callTimeoutMs,
    },
  ],
  leaving: [],
};

/** The cluster; faults are set on its fields by the test. */
export class LedgerCluster {
  readonly simulation: Simulation;
  readonly routers: SimulatedRouter[] = [];
  readonly store: FakeStore;
  readonly runs: Run[] = [];
  readonly calls = new Map<string, ClientCall>();
  /** Share of messages, calls and answers that are lost. */
  lossShare = 0;
  storeDownUntil = 0;
  partitionUntil = 0;
  private requests = 0;

  private constructor(seed: number, routers: number) {
    this.simulation = Simulation.create(seed);
    this.store = FakeStore.create(() => {
      this.announceHolders();
    });
    for (let index = 0; index < routers; index += 1) this.startRouter();
  }

  static create(seed: number, routers: number): LedgerCluster {
    return new LedgerCluster(seed, routers);
  }

  /** Starts a router with a clock of its own. */
  startRouter(): void {
    const name = `r${String(this.routers.length)}`;
    const identity = { name, host: name, zone: "a", region: "r" };
    const router: SimulatedRouter = {
      name,
      clockOffset: this.simulation.between(0, maxClockOffsetMs),
      state: createRouterState(identity, { leaseTtlMs: 2000 }),
      pausedUntil: 0,
      isDead: false,
      cutUntil: 0,
    };
    this.routers.push(router);
    const accepted = { revision: 1, intent };
    this.push(router, (at) => ({ type: "configurationRead", at, accepted }));
    for (const other of this.routers) {
      if (other === router) continue;
      this.link(router, other);
      this.link(other, router);
    }
    this.tick(router);
    this.tellHolders(router);
  }

  kill(router: SimulatedRouter): void {
    router.isDead = true;
    for (const other of this.routers)
      this.push(other, (at) => ({ type: "peerLost", at, peer: router.name }));
  }

  /** Tells a router to drain; it stops when its leases are given up. */
  drain(router: SimulatedRouter): void {
    this.push(router, (at) => ({ type: "drainStarted", at }));
    this.simulation.after(drainMs, () => {
      this.kill(router);
    });
  }

  /** A client calls a router; the answer is noted on the call. */
  book(router: SimulatedRouter, key: string, body: string): ClientCall {
    this.requests += 1;
    const requestId = `q${String(this.requests)}`;
    const sentAt = this.simulation.at;
    const call: ClientCall = {
      requestId,
      key,
      body,
      sentAt,
      ran: undefined,
      answer: undefined,
    };
    this.calls.set(requestId, call);
    this.push(router, (at) => ({
      type: "serviceCallArrived",
      at,
      request: {
        customer,
        service: "bookings",
        key,
        call: {
          requestId,
          method: CallMethod.Post,
          path: "/book",
          contentType: "text/plain",
          body,
          deadline: at + callTimeoutMs,
        },
      },
    }));
    return call;
  }

  private link(from: SimulatedRouter, to: SimulatedRouter): void {
    this.push(from, (at) => ({ type: "peerLinked", at, peer: to.name }));
  }

  private tick(router: SimulatedRouter): void {
    if (router.isDead) return;
    this.push(router, (at) => ({ type: "timePassed", at }));
    this.simulation.after(tickMs, () => {
      this.store.expire(this.simulation.at);
      this.tick(router);
    });
  }

  // A paused process sees what came meanwhile when it wakes, at that time.
  private push(
    router: SimulatedRouter,
    create: (at: number) => RouterEvent,
  ): void {
    const { simulation } = this;
    simulation.after(Math.max(0, router.pausedUntil - simulation.at), () => {
      if (router.isDead) return;
      if (router.pausedUntil > simulation.at) {
        this.push(router, create);
        return;
      }
      const at = simulation.at + router.clockOffset;
      const step = decide(router.state, create(at));
      router.state = step.state;
      for (const command of step.commands) this.perform(router, command);
    });
  }

  private perform(router: SimulatedRouter, command: RouterCommand): void {
    switch (command.type) {
      case "leaseCall":
        performLeaseCall(this, router, command);
        return;
      case "readShard":
      case "commitShard":
        this.performShardCall(router, command);
        return;
      case "wakeShard": {
        const { shard, fencing, wakeAt } = command;
        const delayMs = wakeAt - router.clockOffset - this.simulation.at;
        this.simulation.after(delayMs, () => {
          this.report(router, { shard, fencing }, (at) => ({
            type: "timePassed",
            at,
          }));
        });
        return;
      }
      case "loopBack":
      case "sendToPeer":
        this.send(router, command);
        return;
      case "callService":
        this.callService(router, command);
        return;
      case "answerCall":
        this.answer(command.requestId, Ran.Yes, command.answer.body);
        return;
      case "failAnswer": {
        const { type, ran } = command.error;
        this.answer(command.requestId, ran, type);
        return;
      }
      default:
    }
  }

  private answer(requestId: string, ran: Ran, answer?: string): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    call.ran = ran;
    call.answer = answer;
  }

  private send(
    from: SimulatedRouter,
    command: RouterCommandOf<"loopBack"> | RouterCommandOf<"sendToPeer">,
  ): void {
    const { simulation } = this;
    const name = command.type === "loopBack" ? from.name : command.peer;
    const to = this.routers.find((router) => router.name === name);
    const { message } = command;
    const isLocal = to === from;
    const isCut = simulation.at < this.partitionUntil;
    if (to === undefined || (!isLocal && (isCut || this.isLost()))) return;
    simulation.after(isLocal ? 0 : simulation.between(1, 5), () => {
      const peer = from.name;
      this.push(to, (at) => ({
        type: "peerMessageReceived",
        at,
        peer,
        message,
      }));
    });
  }

  private isLost(): boolean {
    return this.simulation.chance(this.lossShare);
  }

  /**
   * Calls the key-value service. Where the call or its answer is lost, the
   * caller learns at the deadline; a lost call may still arrive, late.
   */
  callStore<T>(
    router: SimulatedRouter,
    deadline: number,
    execute: () => T,
    toEvent: (answer: T | undefined) => (at: number) => RouterEvent,
  ): void {
    const { simulation } = this;
    let isEnded = false;
    const end = (answer: T | undefined) => {
      if (isEnded) return;
      isEnded = true;
      this.push(router, toEvent(answer));
    };
    const isReachable = () =>
      simulation.at >= Math.max(this.storeDownUntil, router.cutUntil);
    const arrive = () => {
      if (!isReachable()) return;
      this.store.expire(simulation.at);
      const answer = execute();
      if (this.isLost()) return;
      simulation.after(simulation.between(1, 5), () => {
        end(answer);
      });
    };
    const isSlow = this.isLost();
    simulation.after(simulation.between(1, isSlow ? 4000 : 6), arrive);
    const deadlineAt = deadline - router.clockOffset - simulation.at;
    simulation.after(deadlineAt, () => {
      end(undefined);
    });
  }

  private report(
    router: SimulatedRouter,
    { shard, fencing }: { readonly shard: number; readonly fencing: number },
    create: (at: number) => ShardEvent,
  ): void {
    this.push(router, (at) => ({
      type: "shardReported",
      at,
      shard,
      fencing,
      report: create(at),
    }));
  }

  private performShardCall(
    router: SimulatedRouter,
    command: RouterCommandOf<"readShard"> | RouterCommandOf<"commitShard">,
  ): void {
    const { shard, fencing, deadline } = command;
    const toEvent =
      (report: (at: number) => ShardEvent) =>
      (at: number): RouterEvent => ({
        type: "shardReported",
        at,
        shard,
        fencing,
        report: report(at),
      });
    if (command.type === "readShard") {
      const read = () => this.readShard(shard);
      this.callStore(router, deadline, read, (batches) =>
        toEvent((at) =>
          batches === undefined
            ? { type: "readFailed", at }
            : { type: "read", at, batches },
        ),
      );
      return;
    }
    const { commit } = command;
    const { batch } = commit;
    const write = () => this.commitShard(shard, fencing, commit);
    this.callStore(router, deadline, write, (answered) =>
      toEvent((at) => {
        const outcome = answered ?? "unknown";
        return { type: "commitAnswered", at, batch, outcome };
      }),
    );
  }

  private readShard(shard: number) {
    const folder = `ledger/${String(shard)}/`;
    return this.store.below(folder).map(([key, { value }]) => ({
      name: key.slice(folder.length),
      bytes: value.length,
      records: JSON.parse(value) as Commit["records"],
    }));
  }

  private commitShard(shard: number, fencing: number, commit: Commit) {
    const { store } = this;
    const folder = `ledger/${String(shard)}/`;
    const key = folder + commit.batch;
    store.writes += 1;
    const holder = `roles/ledger-${String(shard)}`;
    if (store.createRevisionOf(key) !== 0) return "committed" as const;
    if (store.createRevisionOf(holder) !== fencing)
      return "superseded" as const;
    for (const name of commit.deletes) store.delete(folder + name);
    const { merge } = commit;
    if (merge !== undefined)
      store.put(folder + merge.name, JSON.stringify(merge.records));
    store.put(key, JSON.stringify(commit.records));
    return "committed" as const;
  }

  private callService(
    router: SimulatedRouter,
    { call }: RouterCommandOf<"callService">,
  ): void {
    const { simulation } = this;
    const { requestId, body, deadline } = call;
    const key = this.calls.get(requestId)?.key ?? "";
    const isRefused = this.isLost();
    const isCallLost = this.isLost();
    const isAnswerLost = this.isLost();
    const end = (delayMs: number, text?: string) => {
      simulation.after(delayMs, () => {
        this.push(router, (at) => ({
          type: "serviceCallEnded",
          at,
          requestId,
          outcome: outcomeOf(isRefused, text),
        }));
      });
    };
    const left = deadline - router.clockOffset - simulation.at;
    if (isRefused || left <= 0) {
      end(1);
      return;
    }
    simulation.after(simulation.between(1, 60), () => {
      if (!isCallLost)
        this.runs.push({ requestId, key, body, at: simulation.at });
      const isLost = isCallLost || isAnswerLost;
      end(isLost ? left : 2, isLost ? undefined : `${key} ${body}`);
    });
  }

  private announceHolders(): void {
    for (const router of this.routers) this.tellHolders(router);
  }

  private tellHolders(router: SimulatedRouter): void {
    const { simulation } = this;
    const reachableAt = Math.max(this.storeDownUntil, router.cutUntil);
    const waitMs = Math.max(0, reachableAt - simulation.at);
    simulation.after(waitMs + simulation.between(1, 20), () => {
      const holders = this.store.below("roles/").map(([key, { value }]) => ({
        role: key.slice("roles/".length),
        router: value,
      }));
      this.push(router, (at) => ({ type: "holdersRead", at, holders }));
    });
  }
}

const outcomeOf = (isRefused: boolean, body: string | undefined) => {
  if (isRefused) return { type: "notSent" as const, message: "refused" };
  if (body === undefined)
    return { type: "unknown" as const, message: "answer lost" };
  const contentType = "text/plain";
  return { type: "answered" as const, status: 200, contentType, body };
};
