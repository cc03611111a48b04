/** Test harness: roll-outs of a service over many relays, one store and two versions on a virtual clock. */

import { nextRandom, seedRandom, type Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import type { RelayEvent } from "../decisions/events.js";
import {
  RolloutPhase,
  type RolloutWrite,
  type StoredRollout,
} from "../decisions/rollout/types.js";
import type { RelayState } from "../decisions/types.js";
import { AttemptFailure } from "../decisions/types.js";
import type { Replica } from "../types.js";
import {
  okHead,
  plainService,
  routerAddress,
  testConfig,
  testReplica,
  testRequest,
} from "./scenario.js";

/** How the new version is. */
export enum VersionKind {
  Good = "good",
  BadAtOnce = "bad at once",
  BadLater = "bad later",
  BadUnderLoad = "bad under load",
  BadOnOneRoute = "bad on one route",
  Slow = "slow",
}

/** What happens in the middle. */
export enum RolloutTrouble {
  None = "none",
  /** Each router that writes a phase is killed, and back after a second. */
  DecidersKilled = "deciders killed",
  StoreAway = "store away",
  /** A third of the routers reaches neither store nor routers. */
  RoutersCut = "routers cut",
  /** A third of the routers reads the store half a second late. */
  RoutersLate = "routers late",
}

/** Options of one roll-out. */
export interface RolloutPlan {
  readonly kind: VersionKind;
  readonly trouble: RolloutTrouble;
  readonly routerCount: number;
  readonly seed: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
  /** Time from the order until any router reads it: their watches were all asleep. */
  readonly orderReadAfterMs?: number;
  /** Time for which they had rested by then. */
  readonly restedMs?: number;
}

/** What a roll-out came to. */
export interface RolloutResult {
  readonly phase: RolloutPhase | undefined;
  /** Time from the order to the final phase. */
  readonly settledAfterMs: number;
  readonly requests: number;
  readonly exposed: number;
  /** Answers of the new version that were bad before the roll-out ended. */
  readonly bad: number;
  /** Time from the 50th of them to the last request of a router that is not cut; undefined without it. */
  readonly lastAfter50Ms: number | undefined;
  readonly hasChangedItsEnd: boolean;
}

interface Scheduled {
  readonly at: Timestamp;
  readonly run: () => void;
}

const orderAt = 2000;
const tickMs = 50;
const watchDelayMs = 1000; // changes that come close together are read together
const restedSpreadMs = 200; // watches that rest together end that together
const badPortion = 0.35;
const replicaCount = 4;
const order = {
  service: plainService,
  version: "v2",
  id: "9-v2",
  revision: 9,
};

/** One roll-out from its order to some time after its deadline. */
export class RolloutFleet {
  private readonly states = new Map<string, RelayState>();
  private readonly queue: Scheduled[] = [];
  private generator;
  private at: Timestamp = 1000;
  private stored: StoredRollout | undefined;
  private revision = 10;
  private requests = 0;
  private exposed = 0;
  private badTimes: Timestamp[] = [];
  private lastNewSend: Timestamp = 0;
  private newInFlight = 0;
  private finalAt: Timestamp | undefined;
  private hasChangedItsEnd = false;
  private isStoreAway = false;
  private troubled: ReadonlySet<string> = new Set();

  private constructor(private readonly plan: RolloutPlan) {
    this.generator = seedRandom(plan.seed);
  }

  /** Plays a roll-out and returns what it came to. */
  static run(plan: RolloutPlan): RolloutResult {
    const fleet = new RolloutFleet(plan);
    fleet.start();
    fleet.playUntil(orderAt + 1.3 * plan.durationMs);
    return fleet.result();
  }

  private random(): number {
    const { value, state } = nextRandom(this.generator);
    this.generator = state;
    return value;
  }

  private later(ms: number, run: () => void): void {
    const at = this.at + ms;
    let index = this.queue.length;
    while (index > 0 && (this.queue[index - 1]?.at ?? 0) < at) index -= 1;
    this.queue.splice(index, 0, { at, run });
  }

  private playUntil(end: Timestamp): void {
    for (;;) {
      const next = this.queue.pop();
      if (next === undefined || next.at > end) return;
      this.at = next.at;
      next.run();
    }
  }

  private names(): string[] {
    const { routerCount } = this.plan;
    return Array.from({ length: routerCount }, (_, i) => `r${String(i + 1)}`);
  }

  private start(): void {
    const names = this.names();
    const { trouble, durationMs } = this.plan;
    for (const name of names) this.startRouter(name);
    for (const name of names)
      this.later(this.random() * tickMs, () => {
        this.tick(name);
      });
    const isPartial =
      trouble === RolloutTrouble.RoutersCut ||
      trouble === RolloutTrouble.RoutersLate;
    if (isPartial) this.troubled = new Set(names.filter((_, i) => i % 3 === 1));
    this.arrive();
    this.later(this.readableAt() - this.at, () => {
      this.tellAll();
    });
    if (trouble !== RolloutTrouble.StoreAway) return;
    const awayAt = orderAt + (0.2 + 0.3 * this.random()) * durationMs;
    this.later(awayAt - this.at, () => (this.isStoreAway = true));
    this.later(awayAt + 0.2 * durationMs - this.at, () => {
      this.isStoreAway = false;
      this.tellAll();
    });
  }

  private startRouter(name: string): void {
    const state = createRelayState({
      router: name,
      address: routerAddress(name),
      zone: "abc".charAt(Number(name.slice(1)) % 3),
      startedAt: this.at,
      seed: Math.floor(this.random() * 2 ** 31),
      runtimeLimits: {
        drainTimeoutMs: 2000,
        retryLimits: { ratio: 0.8, extraRetryCount: 150, windowMs: 10_000 },
      },
    });
    this.states.set(name, state);
    const { at } = this;
    this.dispatch(name, { type: "storeAnswered", at, detail: "" });
    this.dispatch(name, { type: "configRead", at, config: testConfig() });
    const entries = this.names().map((router) => ({
      router,
      lease: "l",
      address: routerAddress(router),
      zone: undefined,
    }));
    this.dispatch(name, { type: "routersRead", at, entries });
    this.tellStore(name);
  }

  private replicas(): Replica[] {
    const ofVersion = (softwareVersion: string, number: number) =>
      Array.from({ length: replicaCount }, (_, i) =>
        testReplica(
          `${"abc".charAt(i % 3)}-${String(number + i)}`,
          plainService,
          { softwareVersion, slots: 24 },
        ),
      );
    const isOldThere = this.stored?.phase !== RolloutPhase.Completed;
    return [
      ...(isOldThere ? ofVersion("v1", 10) : []),
      ...(this.at >= orderAt + 500 ? ofVersion("v2", 20) : []),
    ];
  }

  private readableAt(): Timestamp {
    return orderAt + (this.plan.orderReadAfterMs ?? 0);
  }

  /** A router reads what the store holds now. */
  private tellStore(name: string): void {
    const { at } = this;
    if (at >= this.readableAt())
      this.dispatch(name, {
        type: "rolloutsRead",
        at,
        orders: [{ ...order, durationMs: this.plan.durationMs }],
        stored: this.stored === undefined ? [] : [this.stored],
        unreadSince: at - (this.plan.restedMs ?? 0),
      });
    this.dispatch(name, {
      type: "replicasRead",
      at,
      replicas: this.replicas(),
    });
  }

  private isCut(name: string): boolean {
    const { trouble, durationMs } = this.plan;
    return (
      trouble === RolloutTrouble.RoutersCut &&
      this.troubled.has(name) &&
      this.at > orderAt + 0.25 * durationMs &&
      this.at < orderAt + 0.6 * durationMs
    );
  }

  private tellAll(): void {
    const { orderReadAfterMs } = this.plan;
    const spreadMs =
      orderReadAfterMs === undefined ? watchDelayMs : restedSpreadMs;
    for (const name of this.states.keys()) {
      const isLate =
        this.plan.trouble === RolloutTrouble.RoutersLate &&
        this.troubled.has(name);
      const delayMs = spreadMs * this.random() ** 2 + (isLate ? 500 : 0);
      this.later(delayMs, () => {
        if (!this.isCut(name) && !this.isStoreAway) this.tellStore(name);
      });
    }
  }

  private tick(name: string): void {
    this.later(tickMs, () => {
      this.tick(name);
    });
    const { at } = this;
    const isReached = !this.isCut(name) && !this.isStoreAway;
    const detail = "";
    this.dispatch(
      name,
      isReached
        ? { type: "storeAnswered", at, detail }
        : { type: "storeFailed", at, detail },
    );
    this.dispatch(name, { type: "timerTicked", at });
    // A router whose path is back, and one that watches, reads what is there.
    if (isReached && this.random() < 0.05) this.tellStore(name);
  }

  /** Callers come to some routers more than to others. */
  private arrive(): void {
    const { requestsPerS, routerCount, durationMs } = this.plan;
    this.later((-1000 / requestsPerS) * Math.log(1 - this.random()), () => {
      this.arrive();
    });
    if (this.at < 1500) return;
    const index = Math.floor(routerCount * this.random() ** 1.5);
    const key = `k${String(this.queue.length)}-${String(this.at)}`;
    const path = this.random() < 0.5 ? "/check/x" : "/book/x";
    if (this.at >= orderAt && this.at < orderAt + durationMs)
      this.requests += 1;
    this.dispatch(`r${String(index + 1)}`, {
      type: "requestArrived",
      at: this.at,
      key,
      request: testRequest(key, path, this.at),
    });
  }

  private dispatch(name: string, event: RelayEvent): void {
    const state = this.states.get(name);
    if (state === undefined) return;
    for (const command of decideRelay(state, event).commands)
      this.perform(name, state, command);
  }

  private perform(
    name: string,
    state: RelayState,
    command: RelayCommand,
  ): void {
    if (command.type === "send") this.answer(name, state, command);
    if (command.type === "writeRollout") this.write(name, command.write);
    if (command.type !== "tellRollout") return;
    const { to, report } = command;
    const target = `r${String(to.port)}`;
    if (this.isCut(name) || this.random() < 0.02) return;
    this.later(1 + 3 * this.random(), () => {
      if (this.isCut(target)) return;
      const from = routerAddress(name);
      this.dispatch(target, { type: "rolloutTold", at: this.at, from, report });
    });
  }

  private answer(
    name: string,
    state: RelayState,
    { key, attempt, request }: Extract<RelayCommand, { type: "send" }>,
  ): void {
    const isNew = attempt.replica.softwareVersion === order.version;
    if (isNew) this.noteNewSend(name);
    const bad = isNew ? this.drawFault(request.target) : undefined;
    if (isNew) this.newInFlight += 1;
    const workMs = 30 - 25 * Math.log(1 - this.random());
    const tookMs = bad === "slow" ? 6 * workMs : workMs;
    const isGone = !isNew && this.stored?.phase === RolloutPhase.Completed;
    this.later(isGone ? 2 : tookMs, () => {
      if (isNew) this.newInFlight -= 1;
      if (bad !== undefined) this.badTimes.push(this.at);
      if (this.states.get(name) !== state) return;
      const { number } = attempt;
      this.dispatch(
        name,
        isGone
          ? {
              type: "attemptFailed",
              at: this.at,
              key,
              attempt: number,
              failure: AttemptFailure.NotSent,
              detail: "refused",
            }
          : {
              type: "responseReceived",
              at: this.at,
              key,
              attempt: number,
              answer: {
                head: okHead({ status: bad === "fails" ? 500 : 200 }),
                body: new Uint8Array(),
              },
            },
      );
    });
  }

  private noteNewSend(name: string): void {
    const deadline = orderAt + this.plan.durationMs;
    if (this.at <= deadline) this.exposed += 1;
    if (!this.isCut(name)) this.lastNewSend = this.at;
  }

  private drawFault(target: string): "fails" | "slow" | undefined {
    const { kind, durationMs } = this.plan;
    const age = (this.at - orderAt) / durationMs;
    const isDrawn = this.random() < badPortion;
    const fault = isDrawn ? "fails" : undefined;
    switch (kind) {
      case VersionKind.Good:
        return this.random() < 0.005 ? "fails" : undefined;
      case VersionKind.BadAtOnce:
        return fault;
      case VersionKind.BadLater:
        return age > 0.4 ? fault : undefined;
      case VersionKind.BadUnderLoad:
        return this.newInFlight > 1 ? fault : undefined;
      case VersionKind.BadOnOneRoute:
        return target.startsWith("/check/") ? fault : undefined;
      case VersionKind.Slow:
        return isDrawn ? "slow" : undefined;
    }
  }

  private write(name: string, write: RolloutWrite): void {
    if (this.isCut(name) || this.isStoreAway) return;
    this.later(2 + 4 * this.random(), () => {
      if (this.isStoreAway) return;
      const current = this.stored?.revision ?? 0;
      if (current !== write.replaces) {
        this.refuse(name, write);
        return;
      }
      this.revision += 1;
      if (this.finalAt !== undefined) this.hasChangedItsEnd = true;
      this.stored = { ...write, revision: this.revision };
      if (
        write.phase === RolloutPhase.Completed ||
        write.phase === RolloutPhase.RolledBack
      )
        this.finalAt ??= this.at;
      this.tellAll();
      const { at, revision } = this;
      this.dispatch(name, { type: "rolloutWritten", at, write, revision });
      if (this.plan.trouble !== RolloutTrouble.DecidersKilled) return;
      this.states.delete(name);
      this.later(1000, () => {
        this.startRouter(name);
      });
    });
  }

  private refuse(name: string, write: RolloutWrite): void {
    const { at, stored } = this;
    const refusal = { write, stored, isOrderSame: true };
    this.dispatch(name, { type: "rolloutRefused", at, ...refusal });
  }

  private result(): RolloutResult {
    const fiftieth = this.badTimes[49];
    const endAt = this.finalAt ?? orderAt + this.plan.durationMs;
    return {
      phase: this.stored?.phase,
      settledAfterMs: (this.finalAt ?? Infinity) - orderAt,
      requests: this.requests,
      exposed: this.exposed,
      bad: this.badTimes.filter((at) => at <= endAt).length,
      lastAfter50Ms:
        fiftieth === undefined ? undefined : this.lastNewSend - fiftieth,
      hasChangedItsEnd: this.hasChangedItsEnd,
    };
  }
}
