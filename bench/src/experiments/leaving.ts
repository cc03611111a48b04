/** Empties a host by a moment while long streams run on it. */

import { setTimeout as sleep } from "node:timers/promises";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import type { Plan, TimelineEvent } from "@cardamomglade/schema";
import {
  confirmPlan,
  momentOf,
  postPath,
  readEvents,
} from "../harness/administration.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startStandIn, type FleetMember } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import { request } from "undici";
import type { Experiment, Row } from "../types.js";

const routers = 3;
const engines = 6;
const longAnswers = 40;
const longTokens = 1200;
const askEveryMs = 60;
const shortTokens = 20;
const warmUpMs = 2500;
const emptyInMs = 9000;
const markTargetMs = 3000;
const listAfterMs = 1000;

interface Asked {
  readonly isExact: boolean;
  readonly error: string | undefined;
}

const askOne = async (
  fleet: Fleet,
  index: number,
  maxTokens: number,
): Promise<Asked> => {
  const prompt = `Contract ${String(index)}`;
  const router = fleet.routers[index % fleet.routers.length];
  const answer = await readAnswer({
    url: router?.callersUrl ?? "",
    key: callerKey(0),
    model: fleetModel.model,
    prompt,
    maxTokens,
  });
  const wanted = textOfTokens(
    expectedTokens({ ...fleetModel, prompt, maxTokens }),
  );
  return {
    isExact: answer.isWhole && answer.text === wanted,
    error: answer.error,
  };
};

const hostOf = (member: FleetMember | undefined): string =>
  `host-${member?.name ?? ""}`;

const wallNow = (): number => performance.timeOrigin + performance.now();

const markByIntent = async (
  fleet: Fleet,
  leaver: FleetMember | undefined,
  emptyBy: string,
): Promise<void> => {
  const [router] = fleet.routers;
  if (router === undefined) return;
  const planned = await postPath<Plan>(router, "/drain", {
    host: hostOf(leaver),
    emptyBy,
  });
  await confirmPlan(router, planned.body);
};

const markByList = async (
  hosts: FleetMember,
  leaver: FleetMember | undefined,
  emptyBy: string,
): Promise<void> => {
  const res = await request(`${hosts.url}/hosts`, {
    method: "PUT",
    body: JSON.stringify([
      { host: hostOf(leaver), status: "leaving", emptyBy },
    ]),
  });
  await res.body.dump();
};

/** Attempts that routers opened on a back end after a moment. */
const openedAfter = (
  events: readonly TimelineEvent[],
  backEnd: string,
  moment: number,
): number =>
  events.filter(
    (event) =>
      event.backEnd === backEnd &&
      (event.name === "opened" || event.name === "resumed") &&
      momentOf(event) > moment,
  ).length;

const busyOn = async (member: FleetMember | undefined): Promise<number> => {
  const res = await request(`${member?.url ?? ""}/load`);
  const { running, queued } = (await res.body.json()) as {
    running: number;
    queued: number;
  };
  return running + queued;
};

const run = async (fleet: Fleet, hosts: FleetMember): Promise<Row[]> => {
  const [byIntent, byList] = fleet.engines;
  const long = Array.from({ length: longAnswers }, (_, index) =>
    askOne(fleet, index, longTokens),
  );
  const short: Promise<Asked>[] = [];
  const timer = setInterval(() => {
    short.push(askOne(fleet, 1000 + short.length, shortTokens));
  }, askEveryMs);
  await sleep(warmUpMs);
  const emptyAt = wallNow() + emptyInMs;
  const emptyBy = new Date(emptyAt).toISOString();
  const markedAt = wallNow();
  await markByIntent(fleet, byIntent, emptyBy);
  await sleep(listAfterMs);
  const listedAt = wallNow();
  await markByList(hosts, byList, emptyBy);
  await sleep(emptyAt - wallNow());
  const left = await Promise.all([busyOn(byIntent), busyOn(byList)]);
  clearInterval(timer);
  const asked = await Promise.all([...long, ...short]);
  const events = (await Promise.all(fleet.routers.map(readEvents))).flat();
  const late =
    openedAfter(events, byIntent?.name ?? "", markedAt + markTargetMs) +
    openedAfter(events, byList?.name ?? "", listedAt + markTargetMs);
  const moved = events.filter(
    ({ name, offset }) => name === "resumed" && (offset ?? 0) > 0,
  );
  const recomputed = moved.reduce((sum, { offset }) => sum + (offset ?? 0), 0);
  const onTime = left.filter((busy) => busy === 0).length;
  return [
    {
      name: "leaving.newWorkAfterMark",
      value: late,
      unit: "attempts",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "leaving.emptyOnTime",
      value: (100 * onTime) / left.length,
      unit: "%",
      bound: { type: "atLeast", value: 100 },
    },
    {
      name: "leaving.streamsCut",
      value: asked.filter(({ isExact }) => !isExact).length,
      unit: "streams",
      bound: { type: "atMost", value: 0 },
    },
    { name: "leaving.answers", value: asked.length, unit: "answers" },
    { name: "leaving.moves", value: moved.length, unit: "moves" },
    {
      name: "leaving.tokensRecomputed",
      value: recomputed,
      unit: "tokens",
    },
  ];
};

/** Two hosts leave, one by intent and one by the host list. */
export const leaving: Experiment = {
  name: "leaving",
  description: "hosts are empty on time and nobody is cut off",
  run: async () => {
    const hosts = await startStandIn("hosts", "hosts", []);
    const fleet = await Fleet.create({
      engines,
      routers,
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
