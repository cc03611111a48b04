/** Sends bookings as an open-loop load and checks their results against the service ledgers. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { RequestExecuted } from "@cardamomglade/common";
import { callerKey, type Fleet } from "./fleet.js";
import { readLedger, type FleetMember } from "./fleetMembers.js";

/** A booking and its result, as the client saw them. */
export interface Booking {
  readonly key: string;
  readonly sentAt: number;
  readonly latencyMs: number;
  readonly status: number;
  readonly ran: RequestExecuted;
  readonly body: string;
}

/** Rate, duration and targets of a booking load. */
export interface BookingLoad {
  readonly perSecond: number;
  readonly forMs: number;
  readonly name: string;
  /** `/book` is non-idempotent; calls to any other path may be retried. */
  readonly path: string;
  /** Names of the routers to send to; all routers if undefined. */
  readonly routers?: readonly string[];
}

interface ErrorBody {
  readonly error?: { readonly ran: RequestExecuted };
}

interface ServiceLedger {
  readonly runs: readonly { readonly body: string }[];
}

const msPerSecond = 1000;

/** Creates the connection pool that all clients of a run share. */
export const createBookingAgent = (): Agent =>
  new Agent({ connections: 256, pipelining: 1, headersTimeout: 0 });

const requestExecutedOf = (status: number, body: string): RequestExecuted => {
  if (status === 200) return RequestExecuted.Yes;
  return (JSON.parse(body) as ErrorBody).error?.ran ?? RequestExecuted.Unknown;
};

const sendBooking = async (
  agent: Agent,
  url: string,
  path: string,
  key: string,
): Promise<Booking> => {
  const sentAt = performance.now();
  const base = { key, sentAt };
  try {
    const res = await request(`${url}/v1/services/bookings${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${callerKey(0)}`,
        "idempotency-key": key,
        "content-type": "text/plain",
      },
      body: key,
      dispatcher: agent,
    });
    const body = await res.body.text();
    const { statusCode: status } = res;
    const latencyMs = performance.now() - sentAt;
    return {
      ...base,
      latencyMs,
      status,
      ran: requestExecutedOf(status, body),
      body,
    };
  } catch (error) {
    const latencyMs = performance.now() - sentAt;
    return {
      ...base,
      latencyMs,
      status: 0,
      ran: RequestExecuted.Unknown,
      body: String(error),
    };
  }
};

/** Sends bookings at a constant rate, without waiting for earlier responses. */
export const sendBookings = async (
  fleet: Fleet,
  agent: Agent,
  load: BookingLoad,
): Promise<readonly Booking[]> => {
  const { perSecond, forMs, name, path } = load;
  const routers = fleet.routers.filter(
    (router) => load.routers?.includes(router.name) ?? true,
  );
  const count = Math.round((perSecond * forMs) / msPerSecond);
  const startedAt = performance.now();
  const sent: Promise<Booking>[] = [];
  for (let index = 0; index < count; index += 1) {
    const dueAt = startedAt + (index * msPerSecond) / perSecond;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const url = routers[index % routers.length]?.callersUrl ?? "";
    sent.push(sendBooking(agent, url, path, `${name}-${String(index)}`));
  }
  return Promise.all(sent);
};

/** Counts the runs of each idempotency key over all services. */
export const countRuns = async (
  services: readonly FleetMember[],
): Promise<Map<string, number>> => {
  const ledgers = await Promise.all(
    services.map((service) => readLedger<ServiceLedger>(service)),
  );
  const counts = new Map<string, number>();
  for (const { body } of ledgers.flatMap(({ runs }) => runs))
    counts.set(body, (counts.get(body) ?? 0) + 1);
  return counts;
};

/** Counts keys that ran more than once, and calls that ran although they were reported as not run. */
export const countViolations = (
  bookings: readonly Booking[],
  runs: ReadonlyMap<string, number>,
): { readonly duplicateRuns: number; readonly falseNotRun: number } => ({
  duplicateRuns: [...runs.values()].filter((count) => count > 1).length,
  falseNotRun: bookings.filter(
    ({ key, ran }) => ran === RequestExecuted.No && runs.has(key),
  ).length,
});

/** Returns the number of calls that the key-value stand-in has received, by path. */
export const readKeyValueCalls = async ({
  keyValue,
}: Fleet): Promise<Readonly<Record<string, number>>> => {
  const { calls } = await readLedger<{ calls: Record<string, number> }>(
    keyValue,
  );
  return calls;
};

const rolesKeyPrefix = "/cardamomglade/roles/ledger-";
const pollIntervalMs = 20;

/** Waits until `shards` ledger shards have a holder and `isFree` is false for all of them; returns the holders' names. */
export const waitForHolders = async (
  fleet: Fleet,
  shards: number,
  isFree: (holder: string) => boolean = () => false,
): Promise<readonly string[]> => {
  for (;;) {
    const holders = await fleet.readKeys(rolesKeyPrefix);
    const names = holders.map(({ value }) => value);
    if (names.length === shards && !names.some(isFree)) return names;
    await sleep(pollIntervalMs);
  }
};
