/** Records a run on a fleet: what callers saw, what routers tell, what ran. */

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
  orderFault,
  readLedger,
  type FleetMember,
  type FleetRouter,
} from "./fleetMembers.js";
import { readAnswer, type ReadAnswer } from "./readAnswer.js";

/** A generation to ask for; its prompt has to be unique in the run. */
export interface Asked {
  readonly router: FleetRouter;
  readonly customer: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A call to send; its body has to be unique to its key. */
export interface Sent {
  readonly router: FleetRouter;
  readonly key: string;
  readonly body: string;
}

const pollEveryMs = 200;
const pollTimeoutMs = 1000;
const callTimeoutMs = 15_000;

interface ErrorBody {
  readonly error?: { readonly ran?: string; readonly message?: string };
}

const ranOf = (text: string | undefined): RequestExecuted =>
  Object.values(RequestExecuted).find((ran) => ran === text) ??
  RequestExecuted.Unknown;

const outcomeOfAnswer = (answer: ReadAnswer): CallerOutcome => {
  if (answer.isWhole && answer.error === undefined) return { type: "whole" };
  const message = answer.error ?? "the stream ended early";
  return answer.ran === undefined || answer.text !== ""
    ? { type: "broken", message }
    : { type: "refused", ran: ranOf(answer.ran), message };
};

const longestGap = ({ partsAt }: ReadAnswer): number => {
  const gaps = partsAt.slice(1).map((at, index) => at - (partsAt[index] ?? at));
  return Math.max(0, ...gaps);
};

const outcomeOfCall = (status: number, body: string): CallerOutcome => {
  if (status === 200) return { type: "whole" };
  const { error } = JSON.parse(body) as ErrorBody;
  return {
    type: "refused",
    ran: ranOf(error?.ran),
    message: error?.message ?? String(status),
  };
};

/** A run under way. */
export class RunRecorder {
  private readonly answers: CallerAnswer[] = [];
  private readonly calls: CallerCall[] = [];
  private readonly events = new Map<string, TimelineEvent>();
  private readonly newest = new Map<string, string>();
  private readonly routerFaults: RouterFault[] = [];
  private readonly leaving: LeavingMark[] = [];
  private readonly plannedStops: PlannedStop[] = [];
  private readonly accepted: AcceptedRevision[] = [];
  private readonly generations: GenerationRun[] = [];
  private readonly killed = new Set<string>();
  private asked = 0;
  private isOver = false;
  private readonly polling: Promise<void>;

  private constructor(private readonly fleet: Fleet) {
    this.polling = this.poll();
  }

  /** Starts to read the routers' time lines. */
  static create(fleet: Fleet): RunRecorder {
    return new RunRecorder(fleet);
  }

  /** Asks for a generation and reads it to its end. */
  async ask({
    router,
    customer,
    prompt,
    maxTokens,
  }: Asked): Promise<ReadAnswer> {
    const askedAt = Date.now();
    this.asked += 1;
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
      askedAt,
      endedAt: Date.now(),
      text,
      completionTokens,
      longestGapMs: longestGap(answer),
      outcome: outcomeOfAnswer(answer),
    });
    return answer;
  }

  /** Sends a non-repeatable call. */
  async call({ router, key, body }: Sent): Promise<CallerCall> {
    const askedAt = Date.now();
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
      askedAt,
      endedAt,
      answer,
      outcome,
    };
    this.calls.push(call);
    return call;
  }

  /** Puts an intent in force and notes its revision. */
  async putIntent(intent: Intent): Promise<void> {
    const marked = new Set(this.leaving.map(({ host }) => host));
    const revision = await this.fleet.putIntent(intent);
    const at = Date.now();
    this.accepted.push({ revision, acceptedAt: at });
    for (const { host } of intent.leaving)
      if (!marked.has(host)) this.markLeaving(host, intent, at);
  }

  /** Whether an engine was killed in this run. */
  isKilled({ name }: FleetMember): boolean {
    return this.killed.has(name);
  }

  /** Kills an engine; its ledger up to then is kept, except for the newest tokens. */
  async killEngine(engine: FleetMember): Promise<void> {
    if (this.killed.has(engine.name)) return;
    this.killed.add(engine.name);
    await orderFault(engine, { type: "outage" });
    const runs = await this.readGenerations(engine, true);
    engine.process.signal("SIGKILL");
    this.generations.push(...runs);
  }

  /** Notes that a router is dead or paused from now on; returns what ends it. */
  startRouterFault(router: string, type: RouterFault["type"]): () => void {
    const from = Date.now();
    const fault = { type, router, from, until: Infinity };
    this.routerFaults.push(fault);
    return () => {
      fault.until = Date.now();
    };
  }

  /** Notes that a router was told to drain. */
  planRouterStop(router: string): void {
    this.plannedStops.push({ type: "router", router, at: Date.now() });
  }

  /** Answers that have not ended. */
  open(): number {
    return this.asked - this.answers.length;
  }

  /** Reads what ran and ends the record. */
  async finish(): Promise<RunRecord> {
    const endedAt: Timestamp = Date.now();
    this.isOver = true;
    await this.polling;
    await this.readTimelines();
    const alive = this.fleet.engines.filter(
      ({ name }) => !this.killed.has(name),
    );
    const live = await Promise.all(
      alive.map((engine) => this.readGenerations(engine, false)),
    );
    const runs = await Promise.all(
      this.fleet.services.map((service) => readRuns(service)),
    );
    return {
      answers: this.answers,
      calls: this.calls,
      generations: [...this.generations, ...live.flat()],
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

  private async poll(): Promise<void> {
    while (!this.isOver) {
      await this.readTimelines();
      await sleep(pollEveryMs);
    }
  }

  private async readTimelines(): Promise<void> {
    await Promise.all(
      this.fleet.routers.map((router) => this.readTimelineOf(router)),
    );
  }

  // A router that is dead or paused does not answer; the next round asks again.
  private async readTimelineOf(router: FleetRouter): Promise<void> {
    const since = this.newest.get(router.name);
    const query = since === undefined ? "" : `?since=${since}`;
    try {
      const res = await request(
        `${router.administrationUrl}/timeline${query}`,
        {
          headers: { authorization: `Bearer ${operatorToken}` },
          signal: AbortSignal.timeout(pollTimeoutMs),
        },
      );
      const { events } = (await res.body.json()) as {
        events: TimelineEvent[];
      };
      for (const event of events) this.events.set(event.at, event);
      const last = events.at(-1);
      if (last !== undefined) this.newest.set(router.name, last.at);
    } catch {
      return;
    }
  }
}

const readRuns = async (service: FleetMember): Promise<ServiceRun[]> => {
  const { runs } = await readLedger<{ runs: ServiceLedgerEntry[] }>(service);
  return runs.map((run) => ({ ...run, backEnd: service.name }));
};
