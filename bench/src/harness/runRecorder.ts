/** Records a run on a fleet: responses to callers, time-line events of routers, and ledgers of back ends. */

import { setTimeout as sleep } from "node:timers/promises";
import { RequestExecuted, type Timestamp } from "@cardamomglade/common";
import type { Intent, TimelineEvent } from "@cardamomglade/schema";
import type {
  EngineLedgerEntry,
  ServiceLedgerEntry,
} from "@cardamomglade/stand-ins";
import { request } from "undici";
import type {
  AcceptedRevision,
  CallerAnswer,
  CallerCall,
  CallerOutcome,
  GenerationRun,
  LeavingMark,
  PlannedStop,
  RouterFault,
  RunRecord,
  ServiceRun,
} from "../checker/types.js";
import { callerKey, fleetModel, operatorToken, type Fleet } from "./fleet.js";
import {
  injectStandInFault,
  readLedger,
  type FleetMember,
  type FleetRouter,
} from "./fleetMembers.js";
import { readAnswer, type ReadAnswer } from "./readAnswer.js";

/** A completion to request; its prompt must be unique in the run. */
export interface CompletionRequest {
  readonly router: FleetRouter;
  readonly customer: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A call to send; its body must be used with this idempotency key only. */
export interface CallRequest {
  readonly router: FleetRouter;
  readonly key: string;
  readonly body: string;
}

const pollIntervalMs = 200;
const pollRequestTimeoutMs = 1000;
const callTimeoutMs = 15_000;

interface ErrorBody {
  readonly error?: { readonly ran?: string; readonly message?: string };
}

const requestExecutedOf = (text: string | undefined): RequestExecuted =>
  Object.values(RequestExecuted).find((ran) => ran === text) ??
  RequestExecuted.Unknown;

const outcomeOfAnswer = (answer: ReadAnswer): CallerOutcome => {
  if (answer.isWhole && answer.error === undefined) return { type: "whole" };
  const message = answer.error ?? "stream ended early";
  return answer.ran === undefined || answer.text !== ""
    ? { type: "broken", message }
    : { type: "refused", ran: requestExecutedOf(answer.ran), message };
};

const longestGap = ({ chunkTimes }: ReadAnswer): number => {
  const gaps = chunkTimes
    .slice(1)
    .map((at, index) => at - (chunkTimes[index] ?? at));
  return Math.max(0, ...gaps);
};

const outcomeOfCall = (status: number, body: string): CallerOutcome => {
  if (status === 200) return { type: "whole" };
  const { error } = JSON.parse(body) as ErrorBody;
  return {
    type: "refused",
    ran: requestExecutedOf(error?.ran),
    message: error?.message ?? String(status),
  };
};

/** Records a run in progress. */
export class RunRecorder {
  private readonly answers: CallerAnswer[] = [];
  private readonly calls: CallerCall[] = [];
  private readonly events = new Map<string, TimelineEvent>();
  private readonly newestEventTimes = new Map<string, string>();
  private readonly routerFaults: RouterFault[] = [];
  private readonly leaving: LeavingMark[] = [];
  private readonly plannedStops: PlannedStop[] = [];
  private readonly accepted: AcceptedRevision[] = [];
  private readonly generations: GenerationRun[] = [];
  private readonly killedEngines = new Set<string>();
  private requestCount = 0;
  private isOver = false;
  private readonly polling: Promise<void>;

  private constructor(private readonly fleet: Fleet) {
    this.polling = this.pollTimelines();
  }

  /** Starts a recorder, which polls the routers' time lines. */
  static create(fleet: Fleet): RunRecorder {
    return new RunRecorder(fleet);
  }

  /** Requests a completion and reads the response to its end. */
  async requestCompletion({
    router,
    customer,
    prompt,
    maxTokens,
  }: CompletionRequest): Promise<ReadAnswer> {
    const sentAt = Date.now();
    this.requestCount += 1;
    const answer = await readAnswer({
      url: router.callersUrl,
      key: callerKey(customer),
      model: fleetModel.model,
      prompt,
      maxTokens,
    });
    const { requestId, text, completionTokens } = answer;
    this.answers.push({
      ...fleetModel,
      router: router.name,
      requestId,
      prompt,
      maxTokens,
      sentAt,
      endedAt: Date.now(),
      text,
      completionTokens,
      longestGapMs: longestGap(answer),
      outcome: outcomeOfAnswer(answer),
    });
    return answer;
  }

  /** Sends a non-idempotent call. */
  async sendCall({ router, key, body }: CallRequest): Promise<CallerCall> {
    const sentAt = Date.now();
    let answer = "";
    let outcome: CallerOutcome;
    try {
      const res = await request(
        `${router.callersUrl}/v1/services/bookings/book`,
        {
          method: "POST",
          headers: {
            authorization: `Bearer ${callerKey(0)}`,
            "idempotency-key": key,
            "content-type": "application/json",
          },
          body,
          signal: AbortSignal.timeout(callTimeoutMs),
        },
      );
      answer = await res.body.text();
      outcome = outcomeOfCall(res.statusCode, answer);
    } catch (error) {
      outcome = { type: "broken", message: String(error) };
    }
    const endedAt = Date.now();
    const call = {
      router: router.name,
      key,
      body,
      sentAt,
      endedAt,
      answer,
      outcome,
    };
    this.calls.push(call);
    return call;
  }

  /** Stores an intent and records its revision. */
  async putIntent(intent: Intent): Promise<void> {
    const markedHosts = new Set(this.leaving.map(({ host }) => host));
    const revision = await this.fleet.putIntent(intent);
    const at = Date.now();
    this.accepted.push({ revision, acceptedAt: at });
    for (const { host } of intent.leaving)
      if (!markedHosts.has(host)) this.markLeaving(host, intent, at);
  }

  /** Whether an engine was killed in this run. */
  isKilled({ name }: FleetMember): boolean {
    return this.killedEngines.has(name);
  }

  /** Kills an engine after reading its ledger, in which the newest tokens may be missing. */
  async killEngine(engine: FleetMember): Promise<void> {
    if (this.killedEngines.has(engine.name)) return;
    this.killedEngines.add(engine.name);
    await injectStandInFault(engine, { type: "outage" });
    const runs = await this.readGenerations(engine, true);
    engine.process.signal("SIGKILL");
    this.generations.push(...runs);
  }

  /** Records that a router is killed or paused from now on; returns a function that records the end. */
  recordRouterFault(router: string, type: RouterFault["type"]): () => void {
    const from = Date.now();
    const fault = { type, router, from, until: Infinity };
    this.routerFaults.push(fault);
    return () => {
      fault.until = Date.now();
    };
  }

  /** Records that a router was told to drain. */
  recordRouterStop(router: string): void {
    this.plannedStops.push({ type: "router", router, at: Date.now() });
  }

  /** Number of completions that have not ended. */
  countOpenCompletions(): number {
    return this.requestCount - this.answers.length;
  }

  /** Reads the ledgers and returns the complete record. */
  async finish(): Promise<RunRecord> {
    const endedAt: Timestamp = Date.now();
    this.isOver = true;
    await this.polling;
    await this.readTimelines();
    const remaining = this.fleet.engines.filter(
      ({ name }) => !this.killedEngines.has(name),
    );
    const remainingGenerations = await Promise.all(
      remaining.map((engine) => this.readGenerations(engine, false)),
    );
    const runs = await Promise.all(
      this.fleet.services.map((service) => readRuns(service)),
    );
    return {
      answers: this.answers,
      calls: this.calls,
      generations: [...this.generations, ...remainingGenerations.flat()],
      runs: runs.flat(),
      events: [...this.events.values()],
      routers: this.fleet.routers.map(({ name }) => name),
      routerFaults: this.routerFaults,
      leaving: this.leaving,
      plannedStops: this.plannedStops,
      accepted: this.accepted,
      endedAt,
    };
  }

  private markLeaving(host: string, intent: Intent, markedAt: Timestamp): void {
    const backEnds = intent.backEnds
      .filter((backEnd) => backEnd.host === host)
      .map(({ name }) => name);
    this.leaving.push({ host, backEnds, markedAt });
    this.plannedStops.push({ type: "host", backEnds, at: markedAt });
  }

  private async readGenerations(
    engine: FleetMember,
    isPartial: boolean,
  ): Promise<GenerationRun[]> {
    const ledger = await readLedger<{ generations: EngineLedgerEntry[] }>(
      engine,
    );
    const backEnd = engine.name;
    return ledger.generations.map((entry) => ({
      ...entry,
      backEnd,
      isPartial: isPartial && entry.state === "running",
    }));
  }

  private async pollTimelines(): Promise<void> {
    while (!this.isOver) {
      await this.readTimelines();
      await sleep(pollIntervalMs);
    }
  }

  private async readTimelines(): Promise<void> {
    await Promise.all(
      this.fleet.routers.map((router) => this.readTimelineOf(router)),
    );
  }

  // A killed or paused router does not respond; the next poll tries again.
  private async readTimelineOf(router: FleetRouter): Promise<void> {
    const since = this.newestEventTimes.get(router.name);
    const query = since === undefined ? "" : `?since=${since}`;
    try {
      const res = await request(
        `${router.administrationUrl}/timeline${query}`,
        {
          headers: { authorization: `Bearer ${operatorToken}` },
          signal: AbortSignal.timeout(pollRequestTimeoutMs),
        },
      );
      const { events } = (await res.body.json()) as {
        events: TimelineEvent[];
      };
      for (const event of events) this.events.set(event.at, event);
      const last = events.at(-1);
      if (last !== undefined) this.newestEventTimes.set(router.name, last.at);
    } catch {
      return;
    }
  }
}

const readRuns = async (service: FleetMember): Promise<ServiceRun[]> => {
  const { runs } = await readLedger<{ runs: ServiceLedgerEntry[] }>(service);
  return runs.map((run) => ({ ...run, backEnd: service.name }));
};
