/** Test harness: engines and plain replicas that answer, end and restart on a virtual clock. */

import { ConnectionOutcome, type Timestamp } from "@cardamomglade/common";
import type { ProcessAnswer } from "../decisions/adoptedReplicas/types.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { StopOutcome } from "../decisions/earlierRuns/types.js";
import type { RelayEvent } from "../decisions/events.js";
import { AttemptFailure } from "../decisions/types.js";
import type { Replica } from "../types.js";
import {
  engines,
  idleReport,
  okHead,
  plainService,
  testReplica,
} from "./scenario.js";
import type { VirtualClock } from "./virtualClock.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** An attempt that runs at a simulated replica. */
interface Run {
  readonly router: string;
  readonly command: SendCommand;
  readonly work: RunWork;
  /** Whether its connection fell silent for good: neither side hears of the other. */
  isMute: boolean;
}

/** Time in which a replica stood still. */
export interface Silence {
  readonly replica: string;
  readonly from: Timestamp;
  readonly to: Timestamp;
}

/** Work of a replica on one attempt. */
export interface RunWork {
  readonly requestId: string;
  readonly replica: string;
  readonly from: Timestamp;
  /** Time of the last event that it made. */
  to: Timestamp;
}

type CopyCommand = Extract<RelayCommand, { readonly type: "copyKvCache" }>;
type StopCommand = Extract<RelayCommand, { readonly type: "stopRun" }>;

/** An engine or a plain replica; it is down for some seconds after it ended. */
export interface SimulatedReplica {
  replica: Replica;
  isUp: boolean;
  readonly runs: Map<string, Run>;
  /** Last blocks of the prompts that it read. */
  readonly promptBlocks: Set<string>;
  /** Whether it holds none of them any more. */
  hasEvicted: boolean;
  /** Until then its host accepts connections, and its process does nothing. */
  silentUntil: Timestamp;
}

const createSimulated = (replica: Replica): SimulatedReplica => ({
  replica,
  isUp: true,
  runs: new Map(),
  promptBlocks: new Set(),
  hasEvicted: false,
  silentUntil: 0,
});

/** A request that reached a replica. */
export interface Arrival {
  readonly at: Timestamp;
  readonly key: string;
  readonly replica: string;
  readonly fingerprint: string;
  readonly blockIds: readonly string[];
}

/** A request that a replica turned away, with the time at which it may be asked again. */
export interface TurnedAway {
  readonly at: Timestamp;
  readonly router: string;
  readonly replica: string;
  readonly until: Timestamp;
}

const plainAnswerMs = 43;
const prefillMs = 300;
const eventIntervalMs = 40;
const eventCount = 30;
const restartMs = 3000;
const zones = ["a", "b", "c"];

const replicaIdOf = (index: number, number = index): string =>
  `${zones[index % zones.length] ?? ""}-${String(number)}`;

/** Number that tells plain replicas from engines in their ids. */
const firstPlainNumber = 900;

/** Numbers of replicas to simulate. */
export interface ReplicaCounts {
  readonly engineCount: number;
  readonly plainCount?: number;
}

/** All replicas of a fleet; the test sets their faults. */
export class SimulatedReplicas {
  readonly engines: SimulatedReplica[] = [];
  readonly plainReplicas: SimulatedReplica[] = [];
  /** Limits of requests a second that replicas name, by id. */
  readonly requestLimits = new Map<string, number>();
  /** Ids of replicas that refuse each request, as they are full. */
  readonly fullReplicas = new Set<string>();
  /** Times until which replicas turn each request away and say so, by id. */
  readonly busyUntil = new Map<string, Timestamp>();
  readonly turnedAway: TurnedAway[] = [];
  /** Ids of engines that work on when the connection of a run is closed. */
  readonly keepingRuns = new Set<string>();
  /** Ids of engines that take no copies of KV caches. */
  readonly refusingCopies = new Set<string>();
  /** Work on all attempts, in the order in which it began. */
  readonly work: RunWork[] = [];
  /** Times in which replicas stood still. */
  readonly silences: Silence[] = [];
  /** Prompt blocks under which an engine ends as soon as it begins to answer. */
  readonly crashingBlocks = new Set<string>();
  /** Fingerprints of requests under which a replica ends, and the number of events before it does. */
  readonly crashingRequests = new Map<string, number>();
  readonly arrivals: Arrival[] = [];
  /** Times at which replicas ended under such a block or request. */
  readonly crashTimes: Timestamp[] = [];
  /** Attempts whose connection was closed, also while the request was on its way. */
  private readonly abandoned = new Set<string>();

  private constructor(
    private readonly clock: VirtualClock,
    private readonly dispatch: (
      router: string,
      service: string,
      event: RelayEvent,
    ) => void,
    private readonly onRestart: () => void,
    { engineCount, plainCount = 0 }: ReplicaCounts,
  ) {
    for (let index = 0; index < plainCount; index += 1) {
      const id = replicaIdOf(index, firstPlainNumber + index);
      this.plainReplicas.push(createSimulated(testReplica(id, plainService)));
    }
    for (let index = 0; index < engineCount; index += 1) {
      this.engines.push(createSimulated(testReplica(replicaIdOf(index))));
    }
  }

  static create(
    clock: VirtualClock,
    dispatch: (router: string, service: string, event: RelayEvent) => void,
    onRestart: () => void,
    counts: ReplicaCounts,
  ): SimulatedReplicas {
    return new SimulatedReplicas(clock, dispatch, onRestart, counts);
  }

  /** Adds an engine; routers know it once they read the store. */
  addEngine(softwareVersion: string): void {
    const id = replicaIdOf(this.engines.length);
    const replica = testReplica(id, undefined, { softwareVersion });
    this.engines.push(createSimulated(replica));
  }

  /** Replicas that run. */
  running(): Replica[] {
    return this.all()
      .filter(({ isUp }) => isUp)
      .map(({ replica }) => replica);
  }

  private all(): SimulatedReplica[] {
    return [...this.engines, ...this.plainReplicas];
  }

  /** Whether a replica's process runs. */
  isRunning(replica: Replica): boolean {
    return this.find(replica) !== undefined;
  }

  /** Gives up an attempt that has no connection; returns whether it was under way. */
  giveUp({ key, attempt }: SendCommand): boolean {
    const name = `${key}/${String(attempt.number)}`;
    if (this.abandoned.has(name)) return false;
    this.abandoned.add(name);
    return true;
  }

  /** Resets a router's connections to the replicas of a service, or to all. */
  resetRouter(router: string, service?: string): void {
    for (const { runs, replica } of this.all()) {
      if (service !== undefined && replica.service !== service) continue;
      for (const [name, run] of [...runs]) {
        if (run.router !== router) continue;
        if (!this.keepingRuns.has(replica.id)) runs.delete(name);
        this.breakRun(run);
        run.isMute = true;
      }
    }
  }

  /** All open connections to engines fall silent for good; new ones work. */
  muteConnections(): void {
    for (const { runs } of this.engines)
      for (const run of runs.values()) run.isMute = true;
  }

  /** Resets the connections of an engine that goes on running. */
  resetConnections(engine: SimulatedReplica): void {
    const runs = [...engine.runs.entries()];
    for (const [name, run] of runs) {
      if (!this.keepingRuns.has(engine.replica.id)) engine.runs.delete(name);
      this.breakRun(run);
      run.isMute = true;
    }
  }

  private find({ id }: Replica): SimulatedReplica | undefined {
    return this.all().find(({ replica, isUp }) => isUp && replica.id === id);
  }

  /** Ends a replica under a request that it cannot bear; returns whether it did. */
  private endUnder(
    simulated: SimulatedReplica,
    { command: { request } }: Run,
    eventCountSoFar: number,
    isAtEnd = false,
  ): boolean {
    const { sharedPromptBlockIds, fingerprint } = request;
    const isDeadly =
      sharedPromptBlockIds.some((id) => this.crashingBlocks.has(id)) ||
      this.crashingRequests.get(fingerprint) === eventCountSoFar ||
      (this.crashingRequests.has(fingerprint) && isAtEnd);
    if (!isDeadly) return false;
    this.crashTimes.push(this.clock.now());
    this.endReplica(simulated);
    return true;
  }

  private headOf({ id }: Replica, isStream: boolean) {
    const requestLimitPerS = this.requestLimits.get(id);
    return okHead({ isStream, requestLimitPerS });
  }

  /** Puts an action off until a replica is no longer silent; returns whether it is. */
  private waitWhileSilent(
    { silentUntil }: SimulatedReplica,
    run: () => void,
  ): boolean {
    const leftMs = silentUntil - this.clock.now();
    if (leftMs > 0) this.clock.later(leftMs, run);
    return leftMs > 0;
  }

  /** Replicas fall silent for some time, and then go on. */
  silence(replicas: readonly SimulatedReplica[], ms: number): void {
    const from = this.clock.now();
    for (const one of replicas) {
      one.silentUntil = from + ms;
      this.silences.push({ replica: one.replica.id, from, to: from + ms });
    }
  }

  private answerPlain(
    simulated: SimulatedReplica,
    name: string,
    run: Run,
  ): void {
    const answer = () => {
      this.answerPlain(simulated, name, run);
    };
    if (this.waitWhileSilent(simulated, answer)) return;
    if (simulated.runs.get(name) !== run || this.endUnder(simulated, run, 0))
      return;
    simulated.runs.delete(name);
    const { key, attempt } = run.command;
    const head = this.headOf(attempt.replica, false);
    this.dispatch(run.router, attempt.replica.service, {
      type: "responseReceived",
      at: this.clock.now(),
      key,
      attempt: attempt.number,
      answer: { head, body: new Uint8Array() },
    });
  }

  /** Closes an attempt's connection, also while the request is on its way. */
  abandon(name: string): void {
    this.abandoned.add(name);
    for (const simulated of this.all()) this.drop(simulated, name);
  }

  /** A replica sees that the connection of a run was closed, once it does not stand still. */
  private drop(simulated: SimulatedReplica, name: string): void {
    const run = simulated.runs.get(name);
    if (run === undefined || run.isMute) return;
    if (this.keepingRuns.has(simulated.replica.id)) {
      run.isMute = true;
      return;
    }
    const drop = () => {
      this.drop(simulated, name);
    };
    if (this.waitWhileSilent(simulated, drop)) return;
    simulated.runs.delete(name);
  }

  /** Stops a run over a new connection, and answers; a replica that stands still does so later. */
  stopRun(command: StopCommand, answer: (outcome: StopOutcome) => void): void {
    const { requestId, replica, holder } = command;
    const simulated = this.engines.find(
      (one) =>
        one.isUp &&
        one.replica.host === replica.host &&
        one.replica.port === replica.port,
    );
    if (simulated === undefined) {
      answer({ type: "refused" });
      return;
    }
    const stop = () => {
      this.stopRun(command, answer);
    };
    if (this.waitWhileSilent(simulated, stop)) return;
    const found = [...simulated.runs].find(
      ([, { work }]) => work.requestId === requestId,
    );
    if (found === undefined || simulated.replica.id !== replica.id) {
      answer({ type: "notFound" });
      return;
    }
    const [name, run] = found;
    simulated.runs.delete(name);
    if (!run.isMute) this.breakRun(run);
    const isCopied =
      holder.id !== replica.id && !this.refusingCopies.has(holder.id);
    answer({ type: "stopped", handle: `h-${name}`, isCopied });
  }

  /** Handle of a copy that an engine makes of a run's KV cache; undefined if it makes none. */
  copyRun({ key, attempt, source, holder }: CopyCommand): string | undefined {
    const name = `${key}/${String(attempt)}`;
    const isRunning = this.find(source)?.runs.has(name) === true;
    const isTaken = !this.refusingCopies.has(holder.id);
    return isRunning && isTaken ? `h-${name}` : undefined;
  }

  /** A request of a router arrives. */
  receive(router: string, command: SendCommand): void {
    const { key, attempt, request } = command;
    const simulated = this.find(attempt.replica);
    if (simulated === undefined) {
      this.report(router, command, AttemptFailure.NotSent);
      return;
    }
    const receive = () => {
      this.receive(router, command);
    };
    if (this.waitWhileSilent(simulated, receive)) return;
    const busyUntil = this.busyUntil.get(attempt.replica.id) ?? 0;
    if (busyUntil > this.clock.now()) {
      this.refuse(router, command, busyUntil);
      return;
    }
    if (this.fullReplicas.has(attempt.replica.id)) {
      this.refuse(router, command);
      return;
    }
    const at = this.clock.now();
    const { id } = attempt.replica;
    const work = {
      requestId: request.requestId,
      replica: id,
      from: at,
      to: at,
    };
    const run = { router, command, work, isMute: false };
    const name = `${key}/${String(attempt.number)}`;
    if (this.abandoned.has(name)) return;
    simulated.runs.set(name, run);
    this.work.push(work);
    const { sharedPromptBlockIds: blockIds, fingerprint } = request;
    this.arrivals.push({
      at: this.clock.now(),
      key,
      replica: attempt.replica.id,
      fingerprint,
      blockIds,
    });
    if (attempt.replica.service === plainService) {
      this.clock.later(plainAnswerMs, () => {
        this.answerPlain(simulated, name, run);
      });
      return;
    }
    this.clock.later(prefillMs, () => {
      if (simulated.runs.get(name) === run) this.begin(simulated, name, run);
    });
  }

  private begin(engine: SimulatedReplica, name: string, run: Run): void {
    const begin = () => {
      if (engine.runs.get(name) === run) this.begin(engine, name, run);
    };
    if (this.waitWhileSilent(engine, begin)) return;
    if (this.endUnder(engine, run, 0)) return;
    const { command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    engine.promptBlocks.add(command.request.lastPromptBlockId ?? "");
    const head = this.headOf(command.attempt.replica, true);
    this.tell(run, {
      type: "streamStarted",
      at: this.clock.now(),
      key,
      attempt,
      head,
    });
    this.emit(engine, name, run, (command.lastEventId ?? 0) + 1);
  }

  /** Sends something over the connection of a run, if it has not fallen silent. */
  private tell({ router, command, isMute }: Run, event: RelayEvent): void {
    if (!isMute) this.dispatch(router, command.attempt.replica.service, event);
  }

  private emit(
    engine: SimulatedReplica,
    name: string,
    run: Run,
    id: number,
  ): void {
    if (engine.runs.get(name) !== run) return;
    const emit = () => {
      this.emit(engine, name, run, id);
    };
    if (this.waitWhileSilent(engine, emit)) return;
    const { command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    const sentCount = id - 1 - (command.lastEventId ?? 0);
    if (this.endUnder(engine, run, sentCount, id === eventCount)) return;
    const { softwareVersion } = engine.replica;
    const events = [{ id, bytes: new TextEncoder().encode(softwareVersion) }];
    run.work.to = this.clock.now();
    this.tell(run, {
      type: "eventsArrived",
      at: this.clock.now(),
      key,
      attempt,
      events,
    });
    if (id < eventCount) {
      this.clock.later(eventIntervalMs, () => {
        this.emit(engine, name, run, id + 1);
      });
      return;
    }
    engine.runs.delete(name);
    this.tell(run, {
      type: "streamEnded",
      at: this.clock.now(),
      key,
      attempt,
    });
  }

  /** Ends a replica; it is back under a new id after some seconds, with other software if a version is given. */
  endReplica(
    simulated: SimulatedReplica,
    softwareVersion = simulated.replica.softwareVersion,
  ): void {
    const runs = [...simulated.runs.values()];
    simulated.runs.clear();
    simulated.promptBlocks.clear();
    simulated.isUp = false;
    for (const run of runs) this.breakRun(run);
    this.clock.later(restartMs, () => {
      const { replica } = simulated;
      const id = `${replica.id}0`;
      const startedAt = this.clock.now();
      simulated.replica = { ...replica, id, startedAt, softwareVersion };
      simulated.isUp = true;
      this.onRestart();
    });
  }

  private breakRun({ router, command }: Run): void {
    this.clock.later(1, () => {
      this.report(router, command, AttemptFailure.Broken);
    });
  }

  private report(
    router: string,
    { key, attempt }: SendCommand,
    failure: AttemptFailure,
  ): void {
    this.dispatch(router, attempt.replica.service, {
      type: "attemptFailed",
      at: this.clock.now(),
      key,
      attempt: attempt.number,
      failure,
      detail: "",
    });
  }

  private refuse(
    router: string,
    { key, attempt }: SendCommand,
    until?: Timestamp,
  ): void {
    const { number, replica } = attempt;
    const head = okHead({ status: 503, isNotExecuted: true });
    const answer = { head, body: new Uint8Array() };
    const at = this.clock.now();
    this.clock.later(1, () => {
      const type = "responseReceived";
      const { service } = replica;
      if (until !== undefined) this.nameTime(router, replica, until);
      this.dispatch(router, service, {
        type,
        at,
        key,
        attempt: number,
        answer,
      });
    });
  }

  /** The answer of a replica names the time at which it may be asked again. */
  private nameTime(router: string, replica: Replica, until: Timestamp): void {
    const at = this.clock.now();
    this.turnedAway.push({ at, router, replica: replica.id, until });
    this.dispatch(router, replica.service, {
      type: "backOffRequested",
      at,
      replica,
      retryAfter: { until, text: String((until - at) / 1000), isOdd: false },
    });
  }

  /** Prompt blocks that an engine lists, with their tokens. */
  promptBlocksOf(
    replica: Replica,
    withHistory: boolean,
  ): ReadonlyMap<string, number> {
    const found = this.find(replica);
    const hasEvicted = found?.hasEvicted === true;
    const blocks = hasEvicted && !withHistory ? [] : found?.promptBlocks;
    const tokens = hasEvicted ? 0 : 100;
    return new Map([...(blocks ?? [])].map((id) => [id, tokens]));
  }

  /** Accepts a connection, or refuses it where no replica runs. */
  answerConnection(
    router: string,
    {
      replica: { id, host, port, service },
      sentAt,
    }: { readonly replica: Replica; readonly sentAt: Timestamp },
  ): void {
    const isRefused = !this.running().some(
      (one) => one.host === host && one.port === port,
    );
    this.dispatch(router, service, {
      type: "connectionProbed",
      at: this.clock.now(),
      replica: id,
      sentAt,
      outcome: isRefused
        ? ConnectionOutcome.Refused
        : ConnectionOutcome.Connected,
    });
  }

  /** Whether the process at a replica's address does nothing now. */
  isSilent({ host, port }: Replica): boolean {
    return this.all().some(
      ({ isUp, silentUntil, replica }) =>
        isUp &&
        silentUntil > this.clock.now() &&
        replica.host === host &&
        replica.port === port,
    );
  }

  /** What the process at a replica's address says of itself; engines serve the model `m`. */
  answerAddress({ host, port }: Replica, withId: boolean): ProcessAnswer {
    const found = this.running().find(
      (one) => one.host === host && one.port === port,
    );
    const report = found?.service === engines && {
      ...idleReport,
      startedAt: found.startedAt,
      modelNames: ["m"],
    };
    return {
      report: report === false ? undefined : report,
      id: withId ? found?.id : undefined,
      isLeaving: false,
    };
  }

  /** Answers a probe, or refuses it where no engine runs. */
  answerProbe(
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
    this.dispatch(router, replica.service, {
      type: "probeFinished",
      at: this.clock.now(),
      replica: replica.id,
      sentAt,
      report: engine && {
        ...idleReport,
        startedAt: engine.replica.startedAt,
        runs: [...engine.runs.values()].map(({ command, work }) => ({
          requestId: command.request.requestId,
          generatedEventCount:
            (command.lastEventId ?? 0) +
            Math.round((work.to - work.from) / eventIntervalMs),
        })),
      },
      isAnswered: engine !== undefined,
      isRefused: engine === undefined,
      isConnected: engine !== undefined,
    });
  }
}
