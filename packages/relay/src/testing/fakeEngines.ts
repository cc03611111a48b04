/** Engines of tests on the virtual clock: each reads one prompt at a time and reports late. */

import type { Timestamp } from "@cardamomglade/common";
import type { EngineReport, Replica } from "../types.js";
import { idleReport, type Scenario } from "./scenario.js";

/** Prompt tokens that an engine reads in a millisecond. */
const tokensPerMs = 8;

/** Time for which an engine generates an answer. */
const answerMs = 5000;

const eventIntervalMs = 100;

const reportLagMs = 300;

interface Run {
  readonly key: string;
  readonly attempt: number;
  readonly engine: string;
  readonly copyTo: string | undefined;
  readonly promptTokens: number;
  readonly totalTokens: number;
  readonly sentAt: Timestamp;
  readonly readFrom: Timestamp;
  readonly firstEventAt: Timestamp;
  /** Time of its end; earlier if its engine is lost. */
  endsAt: Timestamp;
  nextEventAt: Timestamp;
}

/** Plays the engines of a scenario. */
export class FakeEngines {
  /** Time from a request's arrival to its first event, by key. */
  readonly firstEventMs = new Map<string, number>();
  /** Most tokens that the runs and copies at one engine came to need together. */
  maxTokens = 0;
  private readonly runs: Run[] = [];
  private readonly freeAt = new Map<string, Timestamp>();
  private seenCount = 0;

  private constructor(
    private readonly scenario: Scenario,
    private engines: readonly Replica[],
  ) {}

  /** Creates idle engines. */
  static create(scenario: Scenario, engines: readonly Replica[]): FakeEngines {
    return new FakeEngines(scenario, engines);
  }

  private runsAt(engine: string, at: Timestamp): Run[] {
    return this.runs.filter(
      (run) => run.engine === engine && run.sentAt <= at && at < run.endsAt,
    );
  }

  private copyTokensAt(engine: string, at: Timestamp): number {
    return this.runs
      .filter(
        ({ copyTo, firstEventAt, endsAt }) =>
          copyTo === engine && firstEventAt <= at && at < endsAt,
      )
      .reduce((sum, { totalTokens }) => sum + totalTokens, 0);
  }

  private reportOf(engine: string): EngineReport {
    const at = this.scenario.at - reportLagMs;
    const runs = this.runsAt(engine, at).map((run) => ({
      requestId: `id-${run.key}`,
      generatedEventCount: at < run.firstEventAt ? 0 : 1,
      kvTokens:
        at < run.firstEventAt
          ? Math.max(0, (at - run.readFrom) * tokensPerMs)
          : run.promptTokens,
    }));
    const kvUsedTokens =
      runs.reduce((sum, { kvTokens }) => sum + kvTokens, 0) +
      this.copyTokensAt(engine, at);
    return { ...idleReport, active: runs.length, kvUsedTokens, runs };
  }

  private accept(): void {
    const { scenario } = this;
    const sends = scenario.commandsOfType("send").slice(this.seenCount);
    this.seenCount += sends.length;
    for (const { key, attempt, request } of sends) {
      const { promptTokens = 0, maxOutputTokens = 0 } = request;
      const engine = attempt.replica.id;
      const freeAt = this.freeAt.get(engine) ?? 0;
      const readFrom = Math.max(scenario.at, freeAt);
      const unreadTokens = attempt.start.type === "copy" ? 0 : promptTokens;
      const firstEventAt = readFrom + unreadTokens / tokensPerMs;
      this.freeAt.set(engine, firstEventAt);
      this.runs.push({
        key,
        attempt: attempt.number,
        engine,
        copyTo: attempt.copyTo?.id,
        promptTokens,
        totalTokens: promptTokens + maxOutputTokens,
        sentAt: scenario.at,
        readFrom,
        firstEventAt,
        endsAt: firstEventAt + answerMs,
        nextEventAt: firstEventAt,
      });
    }
  }

  private sendEvents(run: Run): void {
    const { scenario } = this;
    const { at } = scenario;
    const { key, attempt } = run;
    const exchange = scenario.state.exchanges.get(key);
    if (exchange?.attempt?.number !== attempt || at < run.nextEventAt) return;
    if (!this.firstEventMs.has(key))
      this.firstEventMs.set(key, at - exchange.request.arrivedAt);
    run.nextEventAt += eventIntervalMs;
    const id = exchange.lastEventId + 1;
    scenario.streamEvents(key, id, id);
    if (at >= run.endsAt - eventIntervalMs) scenario.endStream(key);
  }

  private answerProbes(): void {
    for (const {
      replica,
      probeSentAt,
    } of this.scenario.state.replicas.values())
      if (probeSentAt !== undefined)
        this.scenario.probeFinished(replica, probeSentAt, {
          isAnswered: true,
          report: this.reportOf(replica.id),
        });
  }

  private countTokens(): void {
    for (const { id } of this.engines) {
      const tokens =
        this.copyTokensAt(id, this.scenario.at) +
        this.runsAt(id, this.scenario.at).reduce(
          (sum, { totalTokens }) => sum + totalTokens,
          0,
        );
      this.maxTokens = Math.max(this.maxTokens, tokens);
    }
  }

  /** Engines end, with all their runs. */
  lose(isLost: (engine: Replica) => boolean): void {
    const { scenario } = this;
    const lost = new Set(this.engines.filter(isLost).map(({ id }) => id));
    this.engines = this.engines.filter(({ id }) => !lost.has(id));
    const replicas = this.engines;
    scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
    for (const run of this.runs) {
      if (!lost.has(run.engine) || run.endsAt <= scenario.at) continue;
      run.endsAt = scenario.at;
      scenario.failAttempt(run.key, scenario.lastSend(run.key).attempt.number);
    }
  }

  /** Moves the clock by one tick. */
  tick(): void {
    const { scenario } = this;
    for (const { id } of this.engines)
      scenario.reports.set(id, this.reportOf(id));
    scenario.advance(25);
    this.accept();
    for (const run of this.runs)
      if (run.endsAt > scenario.at) this.sendEvents(run);
    this.answerProbes();
    this.accept();
    this.countTokens();
  }
}
