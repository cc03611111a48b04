/** Test harness: engines and plain replicas that answer, end and restart on a virtual clock. */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import { AttemptFailure } from "../decisions/types.js";
import type { Replica } from "../types.js";
import { idleReport, okHead, plainService, testReplica } from "./scenario.js";
import type { VirtualClock } from "./virtualClock.js";

type SendCommand = Extract<RelayCommand, { readonly type: "send" }>;

/** An attempt that runs at a simulated engine. */
interface Run {
  readonly router: string;
  readonly command: SendCommand;
}

/** An engine; it is down for some seconds after it ended. */
export interface SimulatedEngine {
  replica: Replica;
  isUp: boolean;
  readonly runs: Map<string, Run>;
}

/** A request that reached a replica. */
export interface Arrival {
  readonly at: Timestamp;
  readonly key: string;
  readonly replica: string;
  readonly blockIds: readonly string[];
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
  readonly engines: SimulatedEngine[] = [];
  readonly plainReplicas: Replica[] = [];
  /** Limits of requests a second that replicas name, by id. */
  readonly requestLimits = new Map<string, number>();
  /** Prompt blocks under which an engine ends as soon as it begins to answer. */
  readonly crashingBlocks = new Set<string>();
  readonly arrivals: Arrival[] = [];
  /** Times at which engines ended under such a block. */
  readonly crashTimes: Timestamp[] = [];
  /** Attempts whose connection was closed, also while the request was on its way. */
  private readonly abandoned = new Set<string>();

  private constructor(
    private readonly clock: VirtualClock,
    private readonly dispatch: (router: string, event: RelayEvent) => void,
    private readonly onRestart: () => void,
    { engineCount, plainCount = 0 }: ReplicaCounts,
  ) {
    for (let index = 0; index < plainCount; index += 1) {
      const id = replicaIdOf(index, firstPlainNumber + index);
      this.plainReplicas.push(testReplica(id, plainService));
    }
    for (let index = 0; index < engineCount; index += 1) {
      const replica = testReplica(replicaIdOf(index));
      this.engines.push({ replica, isUp: true, runs: new Map() });
    }
  }

  static create(
    clock: VirtualClock,
    dispatch: (router: string, event: RelayEvent) => void,
    onRestart: () => void,
    counts: ReplicaCounts,
  ): SimulatedReplicas {
    return new SimulatedReplicas(clock, dispatch, onRestart, counts);
  }

  /** Replicas that run. */
  running(): Replica[] {
    return this.engines
      .filter(({ isUp }) => isUp)
      .map(({ replica }) => replica)
      .concat(this.plainReplicas);
  }

  /** Resets the connections of an engine that goes on running. */
  resetConnections(engine: SimulatedEngine): void {
    const runs = [...engine.runs.values()];
    engine.runs.clear();
    for (const run of runs) this.breakRun(run);
  }

  private engineOf({ id }: Replica): SimulatedEngine | undefined {
    return this.engines.find(({ replica, isUp }) => isUp && replica.id === id);
  }

  private headOf({ id }: Replica, isStream: boolean) {
    const requestLimitPerS = this.requestLimits.get(id);
    return okHead({ isStream, requestLimitPerS });
  }

  private receivePlain(router: string, { key, attempt }: SendCommand): void {
    const replica = attempt.replica.id;
    this.arrivals.push({ at: this.clock.now(), key, replica, blockIds: [] });
    this.clock.later(plainAnswerMs, () => {
      const head = this.headOf(attempt.replica, false);
      this.dispatch(router, {
        type: "responseReceived",
        at: this.clock.now(),
        key,
        attempt: attempt.number,
        answer: { head, body: new Uint8Array() },
      });
    });
  }

  /** Closes an attempt's connection, also while the request is on its way. */
  abandon(name: string): void {
    this.abandoned.add(name);
    for (const { runs } of this.engines) runs.delete(name);
  }

  /** A request of a router arrives. */
  receive(router: string, command: SendCommand): void {
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
    const { sharedPromptBlockIds: blockIds } = request;
    this.arrivals.push({
      at: this.clock.now(),
      key,
      replica: attempt.replica.id,
      blockIds,
    });
    this.clock.later(prefillMs, () => {
      if (engine.runs.get(name) === run) this.begin(engine, name, run);
    });
  }

  private begin(engine: SimulatedEngine, name: string, run: Run): void {
    const { sharedPromptBlockIds } = run.command.request;
    if (sharedPromptBlockIds.some((id) => this.crashingBlocks.has(id))) {
      this.crashTimes.push(this.clock.now());
      this.endEngine(engine);
      return;
    }
    const { router, command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    const head = this.headOf(command.attempt.replica, true);
    this.dispatch(router, {
      type: "streamStarted",
      at: this.clock.now(),
      key,
      attempt,
      head,
    });
    this.emit(engine, name, run, (command.lastEventId ?? 0) + 1);
  }

  private emit(
    engine: SimulatedEngine,
    name: string,
    run: Run,
    id: number,
  ): void {
    if (engine.runs.get(name) !== run) return;
    const { router, command } = run;
    const { key } = command;
    const attempt = command.attempt.number;
    const events = [{ id, bytes: new Uint8Array() }];
    this.dispatch(router, {
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
    this.dispatch(router, {
      type: "streamEnded",
      at: this.clock.now(),
      key,
      attempt,
    });
  }

  /** Ends an engine; it is back under a new id after some seconds. */
  endEngine(engine: SimulatedEngine): void {
    const runs = [...engine.runs.values()];
    engine.runs.clear();
    engine.isUp = false;
    for (const run of runs) this.breakRun(run);
    this.clock.later(restartMs, () => {
      const { replica } = engine;
      const id = `${replica.id}0`;
      engine.replica = { ...replica, id, startedAt: this.clock.now() };
      engine.isUp = true;
      this.onRestart();
    });
  }

  private breakRun({ router, command }: Run): void {
    this.clock.later(1, () => {
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
      at: this.clock.now(),
      key,
      attempt: attempt.number,
      failure,
      detail: "",
    });
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
    this.dispatch(router, {
      type: "probeFinished",
      at: this.clock.now(),
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
