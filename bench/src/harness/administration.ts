/** Client of a router's administration API. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Intent, Plan, TimelineEvent } from "@cardamomglade/schema";
import { operatorToken } from "./fleet.js";
import type { FleetRouter } from "./fleetMembers.js";

const headers = {
  authorization: `Bearer ${operatorToken}`,
  "content-type": "application/json",
};

/** A response of the API. */
export interface ApiResponse<T> {
  readonly status: number;
  readonly body: T;
}

/** Sends a GET request and returns the JSON body. */
export const getJson = async <T>(
  { administrationUrl }: FleetRouter,
  path: string,
): Promise<T> => {
  const res = await request(`${administrationUrl}${path}`, { headers });
  return (await res.body.json()) as T;
};

/** Sends a POST request with a JSON body. */
export const postJson = async <T>(
  { administrationUrl }: FleetRouter,
  path: string,
  body: object,
): Promise<ApiResponse<T>> => {
  const res = await request(`${administrationUrl}${path}`, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
  return { status: res.statusCode, body: (await res.body.json()) as T };
};

/** Requests the plan for an intent. */
export const planIntent = async (
  router: FleetRouter,
  intent: Intent,
): Promise<Plan> => {
  const planned = await postJson<Plan>(router, "/plan", { intent });
  if (planned.status === 200) return planned.body;
  throw new Error(`plan request failed: ${JSON.stringify(planned.body)}`);
};

const retryIntervalMs = 200;
const retryTimeoutMs = 15_000;
const retriedStatuses = [503, 504];

/** Confirms a plan, with retries while the store is unavailable; returns the revision. */
export const confirmPlan = async (
  router: FleetRouter,
  { digest, baseRevision, intent }: Plan,
): Promise<number> => {
  const body = { digest, baseRevision, intent, why: "an experiment" };
  const deadline = performance.now() + retryTimeoutMs;
  for (;;) {
    const confirmed = await postJson<{ revision: number }>(router, "/confirm", {
      ...body,
      acceptUnmet: true,
    });
    if (confirmed.status === 200) return confirmed.body.revision;
    if (
      !retriedStatuses.includes(confirmed.status) ||
      performance.now() > deadline
    )
      throw new Error(
        `plan confirmation failed: ${JSON.stringify(confirmed.body)}`,
      );
    await sleep(retryIntervalMs);
  }
};

/** Returns the wall-clock time of a time-line event in milliseconds. */
export const timestampOf = ({ at }: TimelineEvent): number =>
  Number(at.split("-")[0]);

/** Returns the time-line events of a router. */
export const readEvents = async (
  router: FleetRouter,
): Promise<readonly TimelineEvent[]> =>
  (await getJson<{ events: TimelineEvent[] }>(router, "/timeline")).events;
