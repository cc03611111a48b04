/** Simulated routers, key-value service and plain service on a virtual clock, for fault tests. */

import { RequestExecuted } from "@cardamomglade/common";
import type { ShardCommit, ShardEvent } from "@cardamomglade/decisions";
import { CallMethod, BackEndType, type Intent } from "@cardamomglade/schema";
import { createRouterState, decide } from "../decide.js";
import type {
  RouterCommand,
  RouterCommandOf,
  RouterEvent,
  RouterState,
} from "../types.js";
import { SimulatedKeyValueStore } from "./simulatedKeyValueStore.js";
import { performLeaseCall } from "./performLeaseCall.js";
import { Simulation } from "./simulation.js";

/** One execution of a call by the plain service. */
export interface ServiceExecution {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  readonly at: number;
}

/** One call of a client and its result. */
export interface ClientCall {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  readonly sentAt: number;
  ran: RequestExecuted | undefined;
  /** Body of the response, or the type of the error. */
  answer: string | undefined;
}

/** A simulated router. */
export interface SimulatedRouter {
  readonly name: string;
  /** Offset of its clock from the virtual clock, in milliseconds. */
  clockOffsetMs: number;
  state: RouterState;
  pausedUntil: number;
  isDead: boolean;
  /** Virtual time until which it cannot reach the key-value service. */
  storeUnreachableUntil: number;
}

const tickIntervalMs = 50;
const drainDurationMs = 4000;
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

/** The simulated cluster; tests inject faults by setting its fields. */
export class LedgerCluster {
  readonly simulation: Simulation;
  readonly routers: SimulatedRouter[] = [];
  readonly store: SimulatedKeyValueStore;
  readonly executions: ServiceExecution[] = [];
  readonly calls = new Map<string, ClientCall>();
  /** Probability that a message, a call or a response is lost. */
  lossProbability = 0;
  storeDownUntil = 0;
  partitionUntil = 0;
  private requestCount = 0;

  private constructor(seed: number, routers: number) {
    this.simulation = Simulation.create(seed);
    this.store = SimulatedKeyValueStore.create(() => {
      this.sendHoldersToAll();
    });
    for (let index = 0; index < routers; index += 1) this.startRouter();
  }

  static create(seed: number, routers: number): LedgerCluster {
    return new LedgerCluster(seed, routers);
  }

  /** Starts a router with a random clock offset. */
  startRouter(): void {
    const name = `r${String(this.routers.length)}`;
    const identity = { name, host: name, zone: "a", region: "r" };
    const router: SimulatedRouter = {
      name,
      clockOffsetMs: this.simulation.randomInt(0, maxClockOffsetMs),
      state: createRouterState(identity, { leaseTtlMs: 2000 }),
      pausedUntil: 0,
      isDead: false,
      storeUnreachableUntil: 0,
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
    this.sendHolders(router);
  }

  kill(router: SimulatedRouter): void {
    router.isDead = true;
    for (const other of this.routers)
      this.push(other, (at) => ({ type: "peerLost", at, peer: router.name }));
  }

  /** Starts the drain of a router, and stops it after a fixed time in which it releases its leases. */
  drain(router: SimulatedRouter): void {
    this.push(router, (at) => ({ type: "drainStarted", at }));
    this.simulation.schedule(drainDurationMs, () => {
      this.kill(router);
    });
  }

  /** Sends a client's call to a router; the result is recorded on the returned call. */
  sendCall(router: SimulatedRouter, key: string, body: string): ClientCall {
    this.requestCount += 1;
    const requestId = `q${String(this.requestCount)}`;
    const sentAt = this.simulation.now;
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
    this.push(router, (at) => ({ type: "timerTicked", at }));
    this.simulation.schedule(tickIntervalMs, () => {
      this.store.expire(this.simulation.now);
      this.tick(router);
    });
  }

  // A paused process handles the events that arrived meanwhile with the time at which it resumes.
  private push(
    router: SimulatedRouter,
    create: (at: number) => RouterEvent,
  ): void {
    const { simulation } = this;
    simulation.schedule(
      Math.max(0, router.pausedUntil - simulation.now),
      () => {
        if (router.isDead) return;
        if (router.pausedUntil > simulation.now) {
          this.push(router, create);
          return;
        }
        const at = simulation.now + router.clockOffsetMs;
        const step = decide(router.state, create(at));
        router.state = step.state;
        for (const command of step.commands) this.perform(router, command);
      },
    );
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
        const delayMs = wakeAt - router.clockOffsetMs - this.simulation.now;
        this.simulation.schedule(delayMs, () => {
          this.report(router, { shard, fencing }, (at) => ({
            type: "timerTicked",
            at,
          }));
        });
        return;
      }
      case "sendToSelf":
      case "sendToPeer":
        this.send(router, command);
        return;
      case "callService":
        this.callService(router, command);
        return;
      case "answerCall":
        this.recordAnswer(
          command.requestId,
          RequestExecuted.Yes,
          command.answer.body,
        );
        return;
      case "failAnswer": {
        const { type, ran } = command.error;
        this.recordAnswer(command.requestId, ran, type);
        return;
      }
      default:
    }
  }

  private recordAnswer(
    requestId: string,
    ran: RequestExecuted,
    answer?: string,
  ): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    call.ran = ran;
    call.answer = answer;
  }

  private send(
    from: SimulatedRouter,
    command: RouterCommandOf<"sendToSelf"> | RouterCommandOf<"sendToPeer">,
  ): void {
    const { simulation } = this;
    const name = command.type === "sendToSelf" ? from.name : command.peer;
    const to = this.routers.find((router) => router.name === name);
    const { message } = command;
    const isLocal = to === from;
    const isPartitioned = simulation.now < this.partitionUntil;
    if (to === undefined || (!isLocal && (isPartitioned || this.isLost())))
      return;
    simulation.schedule(isLocal ? 0 : simulation.randomInt(1, 5), () => {
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
    return this.simulation.randomBoolean(this.lossProbability);
  }

  /**
   * Calls the key-value service. If the call is delayed or its response is
   * lost, the caller times out at the deadline; a delayed call may still be
   * executed after that.
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
      simulation.now >=
      Math.max(this.storeDownUntil, router.storeUnreachableUntil);
    const arrive = () => {
      if (!isReachable()) return;
      this.store.expire(simulation.now);
      const answer = execute();
      if (this.isLost()) return;
      simulation.schedule(simulation.randomInt(1, 5), () => {
        end(answer);
      });
    };
    const isSlow = this.isLost();
    simulation.schedule(simulation.randomInt(1, isSlow ? 4000 : 6), arrive);
    const deadlineAt = deadline - router.clockOffsetMs - simulation.now;
    simulation.schedule(deadlineAt, () => {
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
    return this.store.entriesIn(folder).map(([key, { value }]) => ({
      name: key.slice(folder.length),
      bytes: value.length,
      records: JSON.parse(value) as ShardCommit["records"],
    }));
  }

  private commitShard(shard: number, fencing: number, commit: ShardCommit) {
    const { store } = this;
    const folder = `ledger/${String(shard)}/`;
    const key = folder + commit.batch;
    store.writes += 1;
    const holder = `roles/ledger-${String(shard)}`;
    if (store.createRevisionOf(key) !== 0) return "committed" as const;
    if (store.createRevisionOf(holder) !== fencing)
      return "superseded" as const;
    for (const name of commit.deletes) store.delete(folder + name);
    const { compaction } = commit;
    if (compaction !== undefined)
      store.put(folder + compaction.name, JSON.stringify(compaction.records));
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
      simulation.schedule(delayMs, () => {
        this.push(router, (at) => ({
          type: "serviceCallEnded",
          at,
          requestId,
          outcome: outcomeOf(isRefused, text),
        }));
      });
    };
    const remainingMs = deadline - router.clockOffsetMs - simulation.now;
    if (isRefused || remainingMs <= 0) {
      end(1);
      return;
    }
    simulation.schedule(simulation.randomInt(1, 60), () => {
      if (!isCallLost)
        this.executions.push({ requestId, key, body, at: simulation.now });
      const isLost = isCallLost || isAnswerLost;
      end(isLost ? remainingMs : 2, isLost ? undefined : `${key} ${body}`);
    });
  }

  private sendHoldersToAll(): void {
    for (const router of this.routers) this.sendHolders(router);
  }

  private sendHolders(router: SimulatedRouter): void {
    const { simulation } = this;
    const reachableAt = Math.max(
      this.storeDownUntil,
      router.storeUnreachableUntil,
    );
    const waitMs = Math.max(0, reachableAt - simulation.now);
    simulation.schedule(waitMs + simulation.randomInt(1, 20), () => {
      const holders = this.store
        .entriesIn("roles/")
        .map(([key, { value }]) => ({
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
