/** Test harness: runs the relay's decision logic on a virtual clock. */

import type { Timestamp } from "@cardamomglade/common";
import { createRelayState, decideRelay } from "../decisions/decideRelay.js";
import { engineQueryOf } from "../decisions/queryEngines.js";
import { AttemptFailure, BodyFraming } from "../decisions/types.js";
import type { RelayCommand } from "../decisions/commands.js";
import type { StopOutcome } from "../decisions/earlierRuns/types.js";
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

/** Name of a service with engines. */
export const engines = "engines";

/** Name of a service without engines. */
export const plainService = "desk";

/** Path of a stream that can resume at another replica. */
export const streamPath = "/stream/x";

/** Path of a request that is executed at most once. */
export const nonIdempotentPath = "/book/x";

/** Path of an idempotent request. */
export const idempotentPath = "/check/x";

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
  isAnonymousAllowed: false,
  canResume: kind === RequestKind.Streaming,
});

/** A configuration with a streaming, a non-idempotent and an idempotent route. */
export const testConfig = (version = 1): RelayConfig => ({
  version,
  routes: [
    route("/stream/", RequestKind.Streaming, engines, 5),
    route("/book/", RequestKind.NonIdempotent, plainService, 1),
    route("/check/", RequestKind.Idempotent, plainService, 2),
  ],
  services: [
    { name: engines, engine: { canCopyKvCache: true, canStopRuns: true } },
    { name: plainService, engine: undefined },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  customers: [
    { name: "owner", keys: ["key-1"], priority: undefined },
    { name: "other", keys: ["key-other"], priority: undefined },
  ],
});

/** Creates a replica; its zone is the part of its id before the dash. */
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
  softwareVersion: "v1",
  reportNumber: 1,
  ...changes,
});

/** Two engines and one plain replica in each of three zones. */
export const testReplicas = (): Replica[] => [
  ...["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"].map((id) => testReplica(id)),
  ...["a-9", "b-9", "c-9"].map((id) => testReplica(id, plainService)),
];

/** A caller's request without a body. */
export const testRequest = (
  requestId: string,
  target: string,
  arrivedAt: Timestamp,
): CallerRequest => ({
  requestId,
  hostname: "host.example",
  method: "POST",
  target,
  key: "key-1",
  fingerprint: `request-${requestId}`,
  headers: [],
  body: new Uint8Array(),
  hasBody: false,
  arrivedAt,
  callerDeadline: undefined,
  lastEventId: undefined,
  resumes: undefined,
  sharedPromptBlockIds: [],
  lastPromptBlockId: undefined,
  promptTokens: undefined,
  maxOutputTokens: undefined,
  handover: undefined,
});

/** Address of a router; the number in its name is the port. */
export const routerAddress = (router: string): Address => ({
  host: "10.1.0.1",
  port: Number(router.slice(1)),
});

/** Head of a successful response. */
export const okHead = (changes: Partial<ResponseHead> = {}): ResponseHead => ({
  status: 200,
  headers: [],
  seal: "seal",
  isStream: false,
  framing: BodyFraming.Length,
  isNotExecuted: false,
  requestLimitPerS: undefined,
  answeredBy: undefined,
  handedBack: undefined,
  ...changes,
});

/** Load report of an idle engine. */
export const idleReport: EngineReport = {
  startedAt: undefined,
  queued: 0,
  active: 0,
  kvUsedTokens: 0,
  kvTotalTokens: 88_000,
  runs: [],
};

type CommandOf<Type extends RelayCommand["type"]> = Extract<
  RelayCommand,
  { readonly type: Type }
>;

/** Runs the decision logic on a clock that the test advances, and records every command. */
export class Scenario {
  readonly commands: RelayCommand[] = [];
  at: Timestamp = 1000;
  /** Engines that do not answer queries. */
  readonly unresponsiveEngines = new Set<string>();
  /** Load reports by engine; the others are idle. */
  readonly reports = new Map<string, EngineReport>();
  /** Cached tokens by prompt block, by engine. */
  readonly promptBlocks = new Map<string, ReadonlyMap<string, number>>();

  private constructor(readonly state: RelayState) {}

  /** Creates a relay in zone `a` that knows the test configuration and the given replicas. */
  static create(replicas = testReplicas(), seed = 1, router = "r1"): Scenario {
    const scenario = Scenario.createEmpty(seed, router);
    const { at } = scenario;
    scenario.dispatch({ type: "storeAnswered", at, detail: "" });
    scenario.dispatch({ type: "configRead", at, config: testConfig() });
    scenario.dispatch({ type: "replicasRead", at, replicas });
    return scenario;
  }

  /** Creates a relay that has not read the store. */
  static createEmpty(seed = 1, router = "r1"): Scenario {
    return new Scenario(
      createRelayState({
        router,
        address: routerAddress(router),
        zone: "a",
        startedAt: -Infinity,
        seed,
        runtimeLimits: {
          drainTimeoutMs: 2000,
          retryLimits: { ratio: 0.8, extraRetryCount: 150, windowMs: 10_000 },
        },
      }),
    );
  }

  /**
   * Applies an event and returns the resulting commands. Queries are answered
   * at once by idle engines.
   */
  dispatch(event: RelayEvent): RelayCommand[] {
    const { commands } = decideRelay(this.state, event);
    const answers = commands.flatMap((command) => this.answerQuery(command));
    const others = commands.filter((command) => !this.isQueryCommand(command));
    this.commands.push(...others);
    return [...others, ...answers.flatMap((answer) => this.dispatch(answer))];
  }

  private isQueryCommand(command: RelayCommand): boolean {
    if (command.type === "listPromptBlocks") return true;
    if (command.type !== "probe") return false;
    const { id } = command.replica;
    const engineQueries = [...this.state.exchanges.values()].map(engineQueryOf);
    return engineQueries.some(
      (engineQuery) => engineQuery?.sample.has(id) === true,
    );
  }

  private answerQuery(command: RelayCommand): RelayEvent[] {
    const { at } = this;
    if (!this.isQueryCommand(command)) return [];
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
            report: this.reports.get(command.replica.id) ?? idleReport,
            isAnswered: true,
            isRefused: false,
            isConnected: true,
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

  /** Applies a list of registered routers. */
  routersRead(routers: readonly string[]): RelayCommand[] {
    const entries = routers.map((router) => ({
      router,
      lease: `l-${router}`,
      address: routerAddress(router),
      zone: undefined,
    }));
    return this.dispatch({ type: "routersRead", at: this.at, entries });
  }

  /** Advances the clock in timer ticks and returns the commands of all of them. */
  advance(ms: number): RelayCommand[] {
    const until = this.at + ms;
    const commands: RelayCommand[] = [];
    while (this.at < until) {
      this.at = Math.min(until, this.at + 25);
      commands.push(...this.dispatch({ type: "timerTicked", at: this.at }));
    }
    return commands;
  }

  /** Starts a caller request. */
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
        ...testRequest(`id-${key}`, target, this.at),
        ...changes,
      },
    });
  }

  /** Latest `send` command of a request. */
  lastSend(key: string): CommandOf<"send"> {
    const found = this.commandsOfType("send").filter((one) => one.key === key);
    const last = found.at(-1);
    if (last === undefined) throw new Error(`request ${key} was not sent`);
    return last;
  }

  /** All recorded commands of one type. */
  commandsOfType<Type extends RelayCommand["type"]>(
    type: Type,
  ): CommandOf<Type>[] {
    return this.commands.filter(
      (command): command is CommandOf<Type> => command.type === type,
    );
  }

  /** The replica of the latest attempt streams events with the given range of ids. */
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

  /** The replica of the latest attempt ends its stream. */
  endStream(key: string): RelayCommand[] {
    const attempt = this.lastSend(key).attempt.number;
    const { at } = this;
    return this.dispatch({ type: "streamEnded", at, key, attempt });
  }

  /** An attempt ends without a response. */
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

  /** The replica of the latest attempt sends a complete response. */
  answer(key: string, changes: Partial<ResponseHead> = {}): RelayCommand[] {
    return this.answerAttempt(key, this.lastSend(key).attempt.number, changes);
  }

  /** The replica of an attempt sends a complete response. */
  answerAttempt(
    key: string,
    attempt: number,
    changes: Partial<ResponseHead> = {},
  ): RelayCommand[] {
    const answer = { head: okHead(changes), body: new Uint8Array() };
    return this.dispatch({
      type: "responseReceived",
      at: this.at,
      key,
      attempt,
      answer,
    });
  }

  /** The connection of the latest attempt is established. */
  connect(key: string): void {
    const attempt = this.lastSend(key).attempt.number;
    const { at } = this;
    this.dispatch({ type: "connectionOpened", at, key, attempt });
  }

  /** The replica of the latest question to stop a run answers, or does not. */
  answerStop(outcome: StopOutcome): RelayCommand[] {
    const asked = this.commandsOfType("stopRun").at(-1);
    if (asked === undefined) throw new Error("no run was to be stopped");
    const { key, attempt, replica, holder } = asked;
    const { at } = this;
    const type = "runStopped";
    return this.dispatch({
      type,
      at,
      key,
      attempt,
      replica,
      holder,
      outcome,
    });
  }

  /** An engine answers the request to copy the KV cache of the latest attempt. */
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

  /** A probe of a replica ends. */
  probeFinished(
    { id }: Replica,
    sentAt: Timestamp,
    answer: {
      readonly isAnswered: boolean;
      readonly isRefused?: boolean;
      readonly isConnected?: boolean;
      readonly report?: EngineReport;
    },
  ): RelayCommand[] {
    return this.dispatch({
      type: "probeFinished",
      at: this.at,
      replica: id,
      sentAt,
      report: answer.report,
      isAnswered: answer.isAnswered,
      isRefused: answer.isRefused ?? false,
      isConnected: answer.isConnected ?? answer.isAnswered,
    });
  }
}
