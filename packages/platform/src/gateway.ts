/** Calls of the JSON gateway: deadline, circuit breaker, budget and check of the answer. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, now, type Timestamp } from "@cardamomglade/common";
import {
  admitCall,
  createBreaker,
  noteFailure,
  noteSuccess,
  type Breaker,
} from "./breaker.js";
import { createBudget, takeCall, type CallBudget } from "./callBudget.js";
import {
  CallKind,
  type CallFailure,
  type CallCounts,
  type Outcome,
} from "./types.js";

/** Where the service is. */
export interface GatewayOptions {
  readonly endpoints: readonly string[];
  /** Makes connections; plain ones where it is left out. */
  readonly connector?: buildConnector.connector;
  /** Budget of the whole fleet, which one router may not exceed by itself. */
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
}

/** Tells whether a value has the shape of an answer. */
export type Guard<T> = (value: unknown) => value is T;

/** One call of the gateway. */
export interface CallOptions<T> {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: object;
  readonly deadline: Timestamp;
  readonly isAnswer: Guard<T>;
}

// Answers of the service itself to a call that it did not take; others may come from between.
const refusingStatuses = new Set([400, 401, 403, 404]);

// The service is alive, whatever it thinks of the call.
const answeredFailures = new Set<CallFailure["type"]>(["malformed", "status"]);

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** What an error of the transport means. */
export const failureOf = (error: unknown): CallFailure => {
  const message = error instanceof Error ? error.message : String(error);
  const name = error instanceof Error ? error.name : "";
  const type =
    name === "TimeoutError" || name === "AbortError" ? "timeout" : "connection";
  return { type, message };
};

// Refused connections never reached the service, so the call had no effect.
const wasNeverSent = (error: unknown): boolean =>
  error instanceof Error && "code" in error && error.code === "ECONNREFUSED";

const connections = 16;
const closeTimeoutMs = 1000;
const maxAnswerBytes = 32 * 1024 * 1024;

const readText = async (body: AsyncIterable<unknown>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Uint8Array).length;
    if (bytes > maxAnswerBytes)
      throw new Error(`the answer exceeds ${String(maxAnswerBytes)} bytes`);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** The gateway behind the client; every call is sent at most once. */
export class Gateway {
  readonly agent: Agent;
  private breaker: Breaker = createBreaker();
  private readonly budgets = new Map<CallKind, CallBudget>();
  private readonly made = { read: 0, write: 0, lease: 0, watch: 0 };
  private readonly leaseCalls = new Set<Promise<unknown>>();
  private next = 0;

  private constructor(private readonly options: GatewayOptions) {
    const { connector: connect } = options;
    this.agent = new Agent({
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(connect && { connect }),
    });
  }

  static create(options: GatewayOptions): Gateway {
    const gateway = new Gateway(options);
    const { writesPerSecond, readsPerSecond } = options;
    const at = now();
    if (writesPerSecond !== undefined)
      gateway.budgets.set(CallKind.Write, createBudget(writesPerSecond, at));
    if (readsPerSecond !== undefined)
      gateway.budgets.set(CallKind.Read, createBudget(readsPerSecond, at));
    return gateway;
  }

  /** Calls made so far, by kind. */
  counts(): CallCounts {
    return { ...this.made };
  }

  /** Counts a call that is made elsewhere. */
  count(kind: CallKind): void {
    this.made[kind] += 1;
  }

  /** Turns to the next endpoint after a failure. */
  useNext(): void {
    this.next += 1;
  }

  /** Waits for lease calls, so that leases given up are free at once. */
  async close(): Promise<void> {
    const over = sleep(closeTimeoutMs, undefined, { ref: false });
    await Promise.race([Promise.allSettled(this.leaseCalls), over]);
    await this.agent.destroy();
  }

  /** Calls the gateway; answers of another shape are malformed. */
  async call<T>(options: CallOptions<T>): Promise<Outcome<T>> {
    const at = now();
    const refused = this.refuse(options, at);
    if (refused !== undefined) return { type: "refused", failure: refused };
    this.made[options.kind] += 1;
    const sent = this.send(options);
    if (options.kind === CallKind.Lease) this.keep(sent);
    const outcome = await sent;
    const isAnswered =
      outcome.type === "done" || answeredFailures.has(outcome.failure.type);
    this.breaker = isAnswered
      ? noteSuccess(this.breaker, now())
      : noteFailure(this.breaker, now(), Math.random());
    return outcome;
  }

  private keep(sent: Promise<unknown>): void {
    this.leaseCalls.add(sent);
    void sent.finally(() => this.leaseCalls.delete(sent));
  }

  // A call that is refused here was never sent, so it had no effect.
  private refuse(
    { kind, path, deadline }: CallOptions<unknown>,
    at: Timestamp,
  ): CallFailure | undefined {
    if (at >= deadline) {
      const message = `deadline of ${path} passed before it was sent`;
      return { type: "timeout", message };
    }
    const budget = this.budgets.get(kind);
    const left = budget && takeCall(budget, at);
    if (budget !== undefined && left === undefined) {
      const message = `${path} was not sent: ${String(budget.perSecond)} calls a second are used up`;
      return { type: "budget", message };
    }
    const { breaker, isAllowed } = admitCall(this.breaker, at, Math.random());
    this.breaker = breaker;
    if (!isAllowed) {
      const message = `${path} was not sent: the service does not answer`;
      return { type: "circuitOpen", message };
    }
    if (left !== undefined) this.budgets.set(kind, left);
    return undefined;
  }

  private async send<T>(options: CallOptions<T>): Promise<Outcome<T>> {
    const { path, body, deadline, isAnswer } = options;
    try {
      const res = await request(`${this.endpoint()}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        dispatcher: this.agent,
        signal: abortSignalAt(deadline),
      });
      const text = await readText(res.body);
      if (res.statusCode !== 200) {
        const message = `${path} answered ${String(res.statusCode)}: ${text}`;
        return refusingStatuses.has(res.statusCode)
          ? { type: "refused", failure: { type: "status", message } }
          : { type: "unknown", failure: { type: "unavailable", message } };
      }
      const value = parseJson(text);
      if (isAnswer(value)) return { type: "done", value };
      const message = `${path} gave a malformed answer`;
      return { type: "unknown", failure: { type: "malformed", message } };
    } catch (error) {
      this.useNext();
      return {
        type: wasNeverSent(error) ? "refused" : "unknown",
        failure: failureOf(error),
      };
    }
  }

  /** The endpoint in use. */
  endpoint(): string {
    const { endpoints } = this.options;
    return endpoints[this.next % endpoints.length] ?? "";
  }
}
