/** The administration API as an experiment uses it. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Intent, Plan, TimelineEvent } from "@cardamomglade/schema";
import { operatorToken } from "./fleet.js";
import type { FleetRouter } from "./fleetMembers.js";

const headers = {
  authorization: `Bearer ${operatorToken}`,
  "content-type": "application/json",
};

/** An answer of the API. */
export interface ApiAnswer<T> {
  readonly status: number;
  readonly body: T;
}

/** Reads a path. */
export const readPath = async <T>(
  { administrationUrl }: FleetRouter,
  path: string,
): Promise<T> => {
  const res = await request(`${administrationUrl}${path}`, { headers });
  return (await res.body.json()) as T;
};

/** Posts to a path. */
export const postPath = async <T>(
  { administrationUrl }: FleetRouter,
  path: string,
  body: object,
): Promise<ApiAnswer<T>> => {
  const res = await request(`${administrationUrl}${path}`, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
  return { status: res.statusCode, body: (await res.body.json()) as T };
};

/** Plans an intent. */
export const planIntent = async (
  router: FleetRouter,
  intent: Intent,
): Promise<Plan> => {
  const planned = await postPath<Plan>(router, "/plan", { intent });
  if (planned.status === 200) return planned.body;
  throw new Error(`the plan was refused: ${JSON.stringify(planned.body)}`);
};

const retryEveryMs = 200;
const retryUntilMs = 15_000;
const retried = [503, 504];

/** Confirms a plan, again while the store does not answer; returns the revision. */
export const confirmPlan = async (
  router: FleetRouter,
  { digest, baseRevision, intent }: Plan,
): Promise<number> => {
  const body = { digest, baseRevision, intent, why: "an experiment" };
  const deadline = performance.now() + retryUntilMs;
  for (;;) {
    const confirmed = await postPath<{ revision: number }>(router, "/confirm", {
      ...body,
      acceptUnmet: true,
    });
    if (confirmed.status === 200) return confirmed.body.revision;
    if (!retried.includes(confirmed.status) || performance.now() > deadline)
      throw new Error(`not confirmed: ${JSON.stringify(confirmed.body)}`);
    await sleep(retryEveryMs);
  }
};

/** Wall time of a time-line event in milliseconds. */
export const momentOf = ({ at }: TimelineEvent): number =>
  Number(at.split("-")[0]);

/** Events of one router. */
export const readEvents = async (
  router: FleetRouter,
): Promise<readonly TimelineEvent[]> =>
  (await readPath<{ events: TimelineEvent[] }>(router, "/timeline")).events;
