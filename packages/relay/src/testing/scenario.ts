/** A relay's fold on a virtual clock, for tests. */

import type { Moment } from "@cardamomglade/common";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import { AttemptFailure } from "../decisions/types.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import type { ResponseHead, RelayState } from "../decisions/types.js";
import {
  ReplicaState,
  RequestKind,
  type CallerRequest,
  type EngineReport,
  type RelayConfig,
  type Replica,
  type Route,
  type Address,
} from "../types.js";

/** Service of engines. */
export const engines = "engines";

/** Plain service. */
export const desk = "desk";

/** Path of a stream that may go on elsewhere. */
export const streamPath = "/stream/x";

/** Path of a request that runs at most once. */
export const bookPath = "/book/x";

/** Path of a request that may run twice. */
export const checkPath = "/check/x";

const route = (
  prefix: string,
  kind: RequestKind,
  service: string,
  maxAttempts: number,
): Route => ({
  name: prefix,
  hostname: "host.example",
  prefix,
  kind,
  timeoutMs: kind === RequestKind.Streaming ? 25_000 : 1200,
  targetLatencyMs: kind === RequestKind.Streaming ? 4500 : 193,
  priority: 1,
  targets: [{ service, weight: 1 }],
  maxAttempts,
  isOpen: false,
  canResume: kind === RequestKind.Streaming,
});

/** A configuration with a stream, a booking and a check. */
export const testConfig = (version = 1): RelayConfig => ({
  version,
  routes: [
    route("/stream/", RequestKind.Streaming, engines, 5),
    route("/book/", RequestKind.NonIdempotent, desk, 1),
    route("/check/", RequestKind.Idempotent, desk, 2),
  ],
  services: [
    { name: engines, engine: { copies: true } },
    { name: desk, engine: undefined },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  customers: [{ name: "owner", keys: ["key-1"], priority: undefined }],
});

/** A replica; its zone is the part of its id before the dash. */
export const testReplica = (
  id: string,
  service = engines,
  changes: Partial<Replica> = {},
): Replica => ({
  id,
  service,
  host: `10.0.0.${String(id.charCodeAt(0))}`,
  port: 8000 + Number(id.split("-")[1] ?? 0),
  zone: id.split("-")[0] ?? "",
  slots: 6,
  state: ReplicaState.Ready,
  startedAt: 1,
  ...changes,
});

/** Two engines and one desk in each of three zones. */
export const testReplicas = (): Replica[] => [
  ...["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"].map((id) => testReplica(id)),
  ...["a-9", "b-9", "c-9"].map((id) => testReplica(id, desk)),
];

/** Where a router hears others; its name ends with a number. */
export const routerAddress = (router: string): Address => ({
  host: "10.1.0.1",
  port: Number(router.slice(1)),
});

/** The head of a good answer. */
export const okHead = (changes: Partial<ResponseHead> = {}): ResponseHead => ({
  status: 200,
  headers: [],
  seal: "seal",
  isStream: false,
  isFramed: true,
  isNotExecuted: false,
  ...changes,
});

/** The report of an engine without work. */
export const idleReport: EngineReport = {
  startedAt: undefined,
  queued: 0,
  active: 0,
  memoryUsed: 0,
  memoryTotal: 88_000,
  runs: [],
};

type CommandOf<Type extends RelayCommand["type"]> = Extract<
  RelayCommand,
  { readonly type: Type }
>;

/** A fold with a clock that the test moves; every command is kept. */
export class Scenario {
  readonly commands: RelayCommand[] = [];
  at: Moment = 1000;
  /** Engines that answer no look. */
  readonly unresponsiveEngines = new Set<string>();
  /** Parts of prompts that engines hold, by engine. */
  readonly promptBlocks = new Map<string, ReadonlyMap<string, number>>();

  private constructor(readonly state: RelayState) {}

  /** A relay in zone `a` that knows the test's configuration and replicas. */
  static create(replicas = testReplicas(), seed = 1, router = "r1"): Scenario {
    const scenario = Scenario.createEmpty(seed, router);
    const { at } = scenario;
    scenario.dispatch({ type: "storeAnswered", at, detail: "" });
    scenario.dispatch({ type: "configRead", at, config: testConfig() });
    scenario.dispatch({ type: "replicasRead", at, replicas });
    return scenario;
  }

  /** A relay that knows nothing. */
  static createEmpty(seed = 1, router = "r1"): Scenario {
    return new Scenario(
      createRelayState({
        router,
        address: routerAddress(router),
        zone: "a",
        startedAt: -Infinity,
        seed,
        bounds: {
          drainTimeoutMs: 2000,
          repeatLimits: { share: 0.8, extra: 150, windowMs: 10_000 },
        },
      }),
    );
  }

  /** Folds an event; gives the commands that followed. Looks at engines find them idle. */
  dispatch(event: RelayEvent): RelayCommand[] {
    const { commands } = decideRelay(this.state, event);
    const answers = commands.flatMap((command) => this.answerLook(command));
    const others = commands.filter((command) => !this.isLook(command));
    this.commands.push(...others);
    return [...others, ...answers.flatMap((answer) => this.dispatch(answer))];
  }

  private isLook(command: RelayCommand): boolean {
    if (command.type === "listPromptBlocks") return true;
    if (command.type !== "probe") return false;
    const { id } = command.replica;
    const engineQueries = [...this.state.exchanges.values()].map(
      ({ engineQuery }) => engineQuery,
    );
    return engineQueries.some(
      (engineQuery) => engineQuery?.sample.has(id) === true,
    );
  }

  private answerLook(command: RelayCommand): RelayEvent[] {
    const { at } = this;
    if (!this.isLook(command)) return [];
    if (
      "replica" in command &&
      this.unresponsiveEngines.has(command.replica.id)
    )
      return [];
    switch (command.type) {
      case "probe":
        return [
          {
            type: "probeFinished",
            at,
            replica: command.replica.id,
            sentAt: command.sentAt,
            report: idleReport,
            isAnswered: true,
          },
        ];
      case "listPromptBlocks": {
        const { id } = command.replica;
        const promptBlocks =
          this.promptBlocks.get(id) ?? new Map<string, number>();
        return [{ type: "promptBlocksListed", at, replica: id, promptBlocks }];
      }
      default:
        return [];
    }
  }

  /** The routers' entries were read. */
  routersRead(routers: readonly string[]): RelayCommand[] {
    const entries = routers.map((router) => ({
      router,
      lease: `l-${router}`,
      address: routerAddress(router),
    }));
    return this.dispatch({ type: "routersRead", at: this.at, entries });
  }

  /** Lets time pass in ticks; gives the commands of all of them. */
  advance(ms: number): RelayCommand[] {
    const until = this.at + ms;
    const commands: RelayCommand[] = [];
    while (this.at < until) {
      this.at = Math.min(until, this.at + 25);
      commands.push(...this.dispatch({ type: "timerTicked", at: this.at }));
    }
    return commands;
  }

  /** A caller's request arrives. */
  request(
    key: string,
    target: string,
    changes: Partial<CallerRequest> = {},
  ): RelayCommand[] {
    return this.dispatch({
      type: "requestArrived",
      at: this.at,
      key,
      request: {
        requestId: `id-${key}`,
        hostname: "host.example",
        method: "POST",
        target,
        key: "key-1",
        headers: [],
        body: new Uint8Array(),
        hasBody: false,
        arrivedAt: this.at,
        callerDeadline: undefined,
        lastEventId: undefined,
        lastPart: undefined,
        ...changes,
      },
    });
  }

  /** The newest sending of a request. */
  lastSend(key: string): CommandOf<"send"> {
    const found = this.commandsOfType("send").filter((one) => one.key === key);
    const last = found.at(-1);
    if (last === undefined) throw new Error(`request ${key} was not sent`);
    return last;
  }

  /** All commands of one type so far. */
  commandsOfType<Type extends RelayCommand["type"]>(
    type: Type,
  ): CommandOf<Type>[] {
    return this.commands.filter(
      (command): command is CommandOf<Type> => command.type === type,
    );
  }

  /** The replica of the newest sending streams events up to an id. */
  streamEvents(key: string, from: number, to: number): RelayCommand[] {
    const attempt = this.lastSend(key).attempt.number;
    const { at } = this;
    if (from === 1) {
      const head = okHead({ isStream: true });
      this.dispatch({ type: "streamStarted", at, key, attempt, head });
    }
    const events = Array.from({ length: to - from + 1 }, (_, index) => ({
      id: from + index,
      bytes: new Uint8Array(),
    }));
    return this.dispatch({ type: "eventsArrived", at, key, attempt, events });
  }

  /** An attempt ends without an answer. */
  failAttempt(
    key: string,
    attempt: number,
    failure = AttemptFailure.Broken,
  ): RelayCommand[] {
    return this.dispatch({
      type: "attemptFailed",
      at: this.at,
      key,
      attempt,
      failure,
      detail: "",
    });
  }

  /** The replica of the newest sending answers whole. */
  answer(key: string, changes: Partial<ResponseHead> = {}): RelayCommand[] {
    const attempt = this.lastSend(key).attempt.number;
    const answer = { head: okHead(changes), body: new Uint8Array() };
    return this.dispatch({
      type: "responseReceived",
      at: this.at,
      key,
      attempt,
      answer,
    });
  }

  /** An engine answered the order to copy the newest attempt's run. */
  finishCopy(
    key: string,
    holder: Replica,
    handle: string | undefined,
  ): RelayCommand[] {
    const attempt = this.lastSend(key).attempt.number;
    const { at } = this;
    return this.dispatch({
      type: "kvCacheCopied",
      at,
      key,
      attempt,
      holder,
      handle,
    });
  }

  /** A probe of a replica ended. */
  probeFinished(
    { id }: Replica,
    sentAt: Moment,
    answer: { readonly isAnswered: boolean; readonly report?: EngineReport },
  ): RelayCommand[] {
    return this.dispatch({
      type: "probeFinished",
      at: this.at,
      replica: id,
      sentAt,
      report: answer.report,
      isAnswered: answer.isAnswered,
    });
  }
}
