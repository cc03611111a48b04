/** Client of the JSON gateway: deadlines, circuit breaker, call budgets and validation of answers. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, now, type Timestamp } from "@cardamomglade/common";
import {
  admitCall,
  createBreaker,
  recordFailure,
  recordSuccess,
  type Breaker,
} from "./breaker.js";
import {
  createCallBudget,
  tryTakeCall,
  type CallBudget,
} from "./callBudget.js";
import {
  CallKind,
  type CallFailure,
  type CallCounts,
  type Outcome,
} from "./types.js";

/** Endpoints and call budgets of the service. */
export interface GatewayOptions {
  readonly endpoints: readonly string[];
  /** Opens connections; without it, plain TCP connections are used. */
  readonly connector?: buildConnector.connector;
  /** Call budget of the whole fleet, which a single router must not exceed on its own. */
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
}

/** Type guard that validates an answer. */
export type TypeGuard<T> = (value: unknown) => value is T;

/** A call of the gateway. */
export interface CallOptions<T> {
  readonly kind: CallKind;
  readonly path: string;
  readonly body: object;
  readonly deadline: Timestamp;
  readonly isAnswer: TypeGuard<T>;
}

// With these status codes the service itself rejected the call. Any other code may
// come from a proxy in between and proves nothing.
const rejectingStatusCodes = new Set([400, 401, 403, 404]);

// With these failures the service did answer, so the circuit breaker counts the call as a success.
const answeredFailureTypes = new Set<CallFailure["type"]>([
  "malformed",
  "status",
]);

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** Converts an error of the transport into a call failure. */
export const transportFailureOf = (error: unknown): CallFailure => {
  const message = error instanceof Error ? error.message : String(error);
  const name = error instanceof Error ? error.name : "";
  const type =
    name === "TimeoutError" || name === "AbortError" ? "timeout" : "connection";
  return { type, message };
};

// With a refused connection the call never reached the service, so it had no effect.
const isConnectionRefused = (error: unknown): boolean =>
  error instanceof Error && "code" in error && error.code === "ECONNREFUSED";

const connections = 16;
const closeTimeoutMs = 1000;
const maxResponseBytes = 32 * 1024 * 1024;

const readText = async (body: AsyncIterable<unknown>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Uint8Array).length;
    if (bytes > maxResponseBytes)
      throw new Error(`the answer exceeds ${String(maxResponseBytes)} bytes`);
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** Client of the gateway; every call is sent at most once. */
export class Gateway {
  readonly agent: Agent;
  private breaker: Breaker = createBreaker();
  private readonly budgets = new Map<CallKind, CallBudget>();
  private readonly callCounts = { read: 0, write: 0, lease: 0, watch: 0 };
  private readonly pendingLeaseCalls = new Set<Promise<unknown>>();
  private endpointIndex = 0;

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
      gateway.budgets.set(
        CallKind.Write,
        createCallBudget(writesPerSecond, at),
      );
    if (readsPerSecond !== undefined)
      gateway.budgets.set(CallKind.Read, createCallBudget(readsPerSecond, at));
    return gateway;
  }

  /** Returns the number of calls made so far, by kind. */
  counts(): CallCounts {
    return { ...this.callCounts };
  }

  /** Counts a call that is sent by other code. */
  count(kind: CallKind): void {
    this.callCounts[kind] += 1;
  }

  /** Switches to the next endpoint after a failure. */
  useNextEndpoint(): void {
    this.endpointIndex += 1;
  }

  /** Waits for pending lease calls, so that revoked leases are released before the exit. */
  async close(): Promise<void> {
    const timeout = sleep(closeTimeoutMs, undefined, { ref: false });
    await Promise.race([Promise.allSettled(this.pendingLeaseCalls), timeout]);
    await this.agent.destroy();
  }

  /** Calls the gateway; an answer that fails validation is reported as malformed. */
  async call<T>(options: CallOptions<T>): Promise<Outcome<T>> {
    const at = now();
    const rejection = this.tryAdmit(options, at);
    if (rejection !== undefined) return { type: "refused", failure: rejection };
    this.callCounts[options.kind] += 1;
    const sent = this.send(options);
    if (options.kind === CallKind.Lease) this.trackLeaseCall(sent);
    const outcome = await sent;
    const isAnswered =
      outcome.type === "done" || answeredFailureTypes.has(outcome.failure.type);
    this.breaker = isAnswered
      ? recordSuccess(this.breaker, now())
      : recordFailure(this.breaker, now(), Math.random());
    return outcome;
  }

  private trackLeaseCall(sent: Promise<unknown>): void {
    this.pendingLeaseCalls.add(sent);
    void sent.finally(() => this.pendingLeaseCalls.delete(sent));
  }

  // Returns why a call may not be sent. A call rejected here was never sent, so it had no effect.
  private tryAdmit(
    { kind, path, deadline }: CallOptions<unknown>,
    at: Timestamp,
  ): CallFailure | undefined {
    if (at >= deadline) {
      const message = `deadline of ${path} passed before it was sent`;
      return { type: "timeout", message };
    }
    const budget = this.budgets.get(kind);
    const budgetAfter = budget && tryTakeCall(budget, at);
    if (budget !== undefined && budgetAfter === undefined) {
      const message = `${path} was not sent: ${String(budget.callsPerSecond)} calls a second are used up`;
      return { type: "budget", message };
    }
    const { breaker, isAllowed } = admitCall(this.breaker, at, Math.random());
    this.breaker = breaker;
    if (!isAllowed) {
      const message = `${path} was not sent: the service does not answer`;
      return { type: "circuitOpen", message };
    }
    if (budgetAfter !== undefined) this.budgets.set(kind, budgetAfter);
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
        return rejectingStatusCodes.has(res.statusCode)
          ? { type: "refused", failure: { type: "status", message } }
          : { type: "unknown", failure: { type: "unavailable", message } };
      }
      const value = parseJson(text);
      if (isAnswer(value)) return { type: "done", value };
      const message = `${path} gave a malformed answer`;
      return { type: "unknown", failure: { type: "malformed", message } };
    } catch (error) {
      this.useNextEndpoint();
      return {
        type: isConnectionRefused(error) ? "refused" : "unknown",
        failure: transportFailureOf(error),
      };
    }
  }

  /** Returns the endpoint in use. */
  endpoint(): string {
    const { endpoints } = this.options;
    return endpoints[this.endpointIndex % endpoints.length] ?? "";
  }
}
