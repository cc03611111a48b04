/** Replaces every router in turn under load, behind a balancer that polls readiness. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { waitUntilReady, type FleetRouter } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const routers = 8;
const engines = 4;
const askEveryMs = 40;
const tokensPerAnswer = 60;
const bookEveryMs = 100;
const pollEveryMs = 200;
const unreadyMs = 700;
const graceMs = 10_000;
const stopGraceMs = 15_000;

/** A balancer: it sends to routers that were ready at its last look. */
class Balancer {
  private ready: FleetRouter[] = [];
  private next = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly fleet: Fleet) {}

  static async create(fleet: Fleet): Promise<Balancer> {
    const balancer = new Balancer(fleet);
    await balancer.look();
    balancer.timer = setInterval(() => void balancer.look(), pollEveryMs);
    return balancer;
  }

  choose(): FleetRouter | undefined {
    this.next += 1;
    return this.ready[this.next % Math.max(1, this.ready.length)];
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async look(): Promise<void> {
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
    this.ready = checked.filter((router) => router !== undefined);
  }
}

const ask = async (
  balancer: Balancer,
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
  const wanted = textOfTokens(
    expectedTokens({ ...fleetModel, prompt, maxTokens: tokensPerAnswer }),
  );
  if (!answer.isWhole || answer.text !== wanted)
    failures.push(answer.error ?? "not exact");
};

const book = async (
  balancer: Balancer,
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

const replaceAll = async (fleet: Fleet): Promise<number[]> => {
  const tookMs: number[] = [];
  for (const index of fleet.routers.keys()) {
    const from = performance.now();
    await fleet.replaceRouter(index, stopGraceMs);
    const fresh = fleet.routers[index];
    if (fresh !== undefined) await waitUntilReady(fresh);
    tookMs.push(performance.now() - from);
    await sleep(pollEveryMs);
  }
  return tookMs;
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const balancer = await Balancer.create(fleet);
  const failures: string[] = [];
  const asked: Promise<void>[] = [];
  const booked: Promise<void>[] = [];
  const asking = setInterval(() => {
    asked.push(ask(balancer, asked.length, failures));
  }, askEveryMs);
  const booking = setInterval(() => {
    booked.push(book(balancer, booked.length, failures));
  }, bookEveryMs);
  const tookMs = await replaceAll(fleet);
  clearInterval(asking);
  clearInterval(booking);
  await Promise.all([...asked, ...booked]);
  balancer.stop();
  for (const failure of new Set(failures)) console.error(failure);
  return [
    {
      name: "rolling.callersFailed",
      value: failures.length,
      unit: "callers",
      bound: { type: "atMost", value: 0 },
    },
    { name: "rolling.answers", value: asked.length, unit: "answers" },
    { name: "rolling.bookings", value: booked.length, unit: "calls" },
    {
      name: "rolling.longestReplacement",
      value: Math.round(Math.max(...tookMs)),
      unit: "ms",
      bound: { type: "atMost", value: graceMs + stopGraceMs },
    },
  ];
};

/** Rolling replacement of all routers under load. */
export const rolling: Experiment = {
  name: "rolling",
  description: "replacing every router in turn fails no caller",
  run: async () => {
    const fleet = await Fleet.create({
      engines,
      routers,
      settings: { drain: { unreadyMs, graceMs } },
    });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
