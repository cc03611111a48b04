/** Replaces one router after another under load, behind a load balancer that polls readiness. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { waitUntilReady, type FleetRouter } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const routerCount = 8;
const engineCount = 4;
const requestIntervalMs = 40;
const tokensPerAnswer = 60;
const bookingIntervalMs = 100;
const pollIntervalMs = 200;
const unreadyMs = 700;
const graceMs = 10_000;
const stopGraceMs = 15_000;

/** Load balancer: chooses, in turn, among the routers that were ready at the last poll. */
class LoadBalancer {
  private readyRouters: FleetRouter[] = [];
  private nextIndex = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly fleet: Fleet) {}

  static async create(fleet: Fleet): Promise<LoadBalancer> {
    const balancer = new LoadBalancer(fleet);
    await balancer.pollReadiness();
    balancer.timer = setInterval(
      () => void balancer.pollReadiness(),
      pollIntervalMs,
    );
    return balancer;
  }

  choose(): FleetRouter | undefined {
    this.nextIndex += 1;
    return this.readyRouters[
      this.nextIndex % Math.max(1, this.readyRouters.length)
    ];
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async pollReadiness(): Promise<void> {
    const checked = await Promise.all(
      this.fleet.routers.map(async (router) => {
        try {
          const res = await request(`${router.administrationUrl}/health/ready`);
          await res.body.dump();
          return res.statusCode === 200 ? router : undefined;
        } catch {
          return undefined;
        }
      }),
    );
    this.readyRouters = checked.filter((router) => router !== undefined);
  }
}

const requestAnswer = async (
  balancer: LoadBalancer,
  index: number,
  failures: string[],
): Promise<void> => {
  const prompt = `Page ${String(index)}`;
  const answer = await readAnswer({
    url: balancer.choose()?.callersUrl ?? "",
    key: callerKey(0),
    model: fleetModel.model,
    prompt,
    maxTokens: tokensPerAnswer,
  });
  const expected = textOfTokens(
    expectedTokens({ ...fleetModel, prompt, maxTokens: tokensPerAnswer }),
  );
  if (!answer.isWhole || answer.text !== expected)
    failures.push(answer.error ?? "not exact");
};

const sendBooking = async (
  balancer: LoadBalancer,
  index: number,
  failures: string[],
): Promise<void> => {
  try {
    const url = balancer.choose()?.callersUrl ?? "";
    const res = await request(`${url}/v1/services/bookings/book`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${callerKey(0)}`,
        "idempotency-key": `rolling-${String(index)}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({ index }),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) failures.push(text);
  } catch (error) {
    failures.push(String(error));
  }
};

const replaceRouters = async (fleet: Fleet): Promise<number[]> => {
  const durationsMs: number[] = [];
  for (const index of fleet.routers.keys()) {
    const startedAt = performance.now();
    await fleet.replaceRouter(index, stopGraceMs);
    const replacement = fleet.routers[index];
    if (replacement !== undefined) await waitUntilReady(replacement);
    durationsMs.push(performance.now() - startedAt);
    await sleep(pollIntervalMs);
  }
  return durationsMs;
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const balancer = await LoadBalancer.create(fleet);
  const failures: string[] = [];
  const pendingAnswers: Promise<void>[] = [];
  const pendingBookings: Promise<void>[] = [];
  const requestTimer = setInterval(() => {
    pendingAnswers.push(
      requestAnswer(balancer, pendingAnswers.length, failures),
    );
  }, requestIntervalMs);
  const bookingTimer = setInterval(() => {
    pendingBookings.push(
      sendBooking(balancer, pendingBookings.length, failures),
    );
  }, bookingIntervalMs);
  const durationsMs = await replaceRouters(fleet);
  clearInterval(requestTimer);
  clearInterval(bookingTimer);
  await Promise.all([...pendingAnswers, ...pendingBookings]);
  balancer.stop();
  for (const failure of new Set(failures)) console.error(failure);
  return [
    {
      name: "rolling.callersFailed",
      value: failures.length,
      unit: "callers",
      bound: { type: "atMost", value: 0 },
    },
    { name: "rolling.answers", value: pendingAnswers.length, unit: "answers" },
    { name: "rolling.bookings", value: pendingBookings.length, unit: "calls" },
    {
      name: "rolling.longestReplacement",
      value: Math.round(Math.max(...durationsMs)),
      unit: "ms",
      bound: { type: "atMost", value: graceMs + stopGraceMs },
    },
  ];
};

/** Rolling replacement of all routers under load. */
export const rolling: Experiment = {
  name: "rolling",
  description: "replacing one router after another fails no caller",
  run: async () => {
    const fleet = await Fleet.create({
      engines: engineCount,
      routers: routerCount,
      settings: { drain: { unreadyMs, graceMs } },
    });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
