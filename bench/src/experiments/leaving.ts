/** Drains two hosts by a deadline while long streams run on them. */

import { setTimeout as sleep } from "node:timers/promises";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import type { Plan, TimelineEvent } from "@cardamomglade/schema";
import {
  confirmPlan,
  timestampOf,
  postJson,
  readEvents,
} from "../harness/administration.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startStandIn, type FleetMember } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import { request } from "undici";
import type { Experiment, Row } from "../types.js";

const routerCount = 3;
const engineCount = 6;
const longAnswerCount = 40;
const tokensPerLongAnswer = 1200;
const requestIntervalMs = 60;
const tokensPerShortAnswer = 20;
const warmUpMs = 2500;
const drainPeriodMs = 9000;
const maxDrainNoticeMs = 3000;
const hostListDelayMs = 1000;

interface AnswerResult {
  readonly isExact: boolean;
  readonly error: string | undefined;
}

const requestAnswer = async (
  fleet: Fleet,
  index: number,
  maxTokens: number,
): Promise<AnswerResult> => {
  const prompt = `Contract ${String(index)}`;
  const router = fleet.routers[index % fleet.routers.length];
  const answer = await readAnswer({
    url: router?.callersUrl ?? "",
    key: callerKey(0),
    model: fleetModel.model,
    prompt,
    maxTokens,
  });
  const expected = textOfTokens(
    expectedTokens({ ...fleetModel, prompt, maxTokens }),
  );
  return {
    isExact: answer.isWhole && answer.text === expected,
    error: answer.error,
  };
};

const hostOf = (member: FleetMember | undefined): string =>
  `host-${member?.name ?? ""}`;

const wallClockMs = (): number => performance.timeOrigin + performance.now();

const drainByIntent = async (
  fleet: Fleet,
  engine: FleetMember | undefined,
  emptyBy: string,
): Promise<void> => {
  const [router] = fleet.routers;
  if (router === undefined) return;
  const planned = await postJson<Plan>(router, "/drain", {
    host: hostOf(engine),
    emptyBy,
  });
  await confirmPlan(router, planned.body);
};

const drainByHostList = async (
  hosts: FleetMember,
  engine: FleetMember | undefined,
  emptyBy: string,
): Promise<void> => {
  const res = await request(`${hosts.url}/hosts`, {
    method: "PUT",
    body: JSON.stringify([
      { host: hostOf(engine), status: "leaving", emptyBy },
    ]),
  });
  await res.body.dump();
};

/** Number of attempts that routers started on a back end after a given time. */
const countAttemptsAfter = (
  events: readonly TimelineEvent[],
  backEnd: string,
  timestampMs: number,
): number =>
  events.filter(
    (event) =>
      event.backEnd === backEnd &&
      (event.name === "opened" || event.name === "resumed") &&
      timestampOf(event) > timestampMs,
  ).length;

const readInFlight = async (
  member: FleetMember | undefined,
): Promise<number> => {
  const res = await request(`${member?.url ?? ""}/load`);
  const { running, queued } = (await res.body.json()) as {
    running: number;
    queued: number;
  };
  return running + queued;
};

const run = async (fleet: Fleet, hosts: FleetMember): Promise<Row[]> => {
  const [intentEngine, listedEngine] = fleet.engines;
  const longAnswers = Array.from({ length: longAnswerCount }, (_, index) =>
    requestAnswer(fleet, index, tokensPerLongAnswer),
  );
  const shortAnswers: Promise<AnswerResult>[] = [];
  const timer = setInterval(() => {
    shortAnswers.push(
      requestAnswer(fleet, 1000 + shortAnswers.length, tokensPerShortAnswer),
    );
  }, requestIntervalMs);
  await sleep(warmUpMs);
  const emptyAt = wallClockMs() + drainPeriodMs;
  const emptyBy = new Date(emptyAt).toISOString();
  const intentDrainAt = wallClockMs();
  await drainByIntent(fleet, intentEngine, emptyBy);
  await sleep(hostListDelayMs);
  const hostListDrainAt = wallClockMs();
  await drainByHostList(hosts, listedEngine, emptyBy);
  await sleep(emptyAt - wallClockMs());
  const inFlightCounts = await Promise.all([
    readInFlight(intentEngine),
    readInFlight(listedEngine),
  ]);
  clearInterval(timer);
  const answers = await Promise.all([...longAnswers, ...shortAnswers]);
  const events = (await Promise.all(fleet.routers.map(readEvents))).flat();
  const lateAttemptCount =
    countAttemptsAfter(
      events,
      intentEngine?.name ?? "",
      intentDrainAt + maxDrainNoticeMs,
    ) +
    countAttemptsAfter(
      events,
      listedEngine?.name ?? "",
      hostListDrainAt + maxDrainNoticeMs,
    );
  const migrations = events.filter(
    ({ name, offset }) => name === "resumed" && (offset ?? 0) > 0,
  );
  const recomputedTokens = migrations.reduce(
    (sum, { offset }) => sum + (offset ?? 0),
    0,
  );
  const emptyOnTimeCount = inFlightCounts.filter(
    (inFlight) => inFlight === 0,
  ).length;
  return [
    {
      name: "leaving.newWorkAfterMark",
      value: lateAttemptCount,
      unit: "attempts",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "leaving.emptyOnTime",
      value: (100 * emptyOnTimeCount) / inFlightCounts.length,
      unit: "%",
      bound: { type: "atLeast", value: 100 },
    },
    {
      name: "leaving.streamsCut",
      value: answers.filter(({ isExact }) => !isExact).length,
      unit: "streams",
      bound: { type: "atMost", value: 0 },
    },
    { name: "leaving.answers", value: answers.length, unit: "answers" },
    { name: "leaving.moves", value: migrations.length, unit: "moves" },
    {
      name: "leaving.tokensRecomputed",
      value: recomputedTokens,
      unit: "tokens",
    },
  ];
};

/** Drains one host by the intent and one by the host list. */
export const leaving: Experiment = {
  name: "leaving",
  description: "hosts are drained by the deadline and no stream is cut off",
  run: async () => {
    const hosts = await startStandIn("hosts", "hosts", []);
    const fleet = await Fleet.create({
      engines: engineCount,
      routers: routerCount,
      settings: { hostList: { url: hosts.url } },
    });
    try {
      return await run(fleet, hosts);
    } finally {
      await fleet.stop();
      hosts.process.signal("SIGKILL");
    }
  },
};
