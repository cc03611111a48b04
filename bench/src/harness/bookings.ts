/** Open-loop bookings and what came of them. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { RequestExecuted } from "@cardamomglade/common";
import { callerKey, type Fleet } from "./fleet.js";
import { readLedger, type FleetMember } from "./fleetMembers.js";

/** One booking as its client saw it. */
export interface Booking {
  readonly key: string;
  readonly sentAt: number;
  readonly latencyMs: number;
  readonly status: number;
  readonly ran: RequestExecuted;
  readonly body: string;
}

/** How bookings are sent. */
export interface BookingLoad {
  readonly perSecond: number;
  readonly forMs: number;
  readonly name: string;
  /** `/book` may not be repeated; any other path may. */
  readonly path: string;
  /** Names of the routers to send to; all where it is left out. */
  readonly routers?: readonly string[];
}

interface ErrorBody {
  readonly error?: { readonly ran: RequestExecuted };
}

interface ServiceLedger {
  readonly runs: readonly { readonly body: string }[];
}

const msPerSecond = 1000;

/** One connection pool for the clients of a run. */
export const createBookingAgent = (): Agent =>
  new Agent({ connections: 256, pipelining: 1, headersTimeout: 0 });

const ranOf = (status: number, body: string): RequestExecuted => {
  if (status === 200) return RequestExecuted.Yes;
  return (JSON.parse(body) as ErrorBody).error?.ran ?? RequestExecuted.Unknown;
};

const book = async (
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
    return { ...base, latencyMs, status, ran: ranOf(status, body), body };
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

/** Sends bookings at a steady rate, whether or not earlier ones were answered. */
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
    sent.push(book(agent, url, path, `${name}-${String(index)}`));
  }
  return Promise.all(sent);
};

/** Runs of each key at all services. */
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

/** Keys that ran twice, and calls told as not run that ran. */
export const findFaults = (
  bookings: readonly Booking[],
  runs: ReadonlyMap<string, number>,
): { readonly doubleRuns: number; readonly falseNo: number } => ({
  doubleRuns: [...runs.values()].filter((count) => count > 1).length,
  falseNo: bookings.filter(
    ({ key, ran }) => ran === RequestExecuted.No && runs.has(key),
  ).length,
});

/** Calls that the key-value stand-in has seen, by path. */
export const readKeyValueCalls = async ({
  keyValue,
}: Fleet): Promise<Readonly<Record<string, number>>> => {
  const { calls } = await readLedger<{ calls: Record<string, number> }>(
    keyValue,
  );
  return calls;
};

const rolesKey = "/cardamomglade/roles/ledger-";
const pollMs = 20;

/** Waits until each of a number of shards has a holder; returns the holders' names. */
export const waitForHolders = async (
  fleet: Fleet,
  shards: number,
  isFree: (holder: string) => boolean = () => false,
): Promise<readonly string[]> => {
  for (;;) {
    const holders = await fleet.readKeys(rolesKey);
    const names = holders.map(({ value }) => value);
    if (names.length === shards && !names.some(isFree)) return names;
    await sleep(pollMs);
  }
};
