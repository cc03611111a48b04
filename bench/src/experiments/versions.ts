/** Moves a deployment to another version under load, by a confirmed plan. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import type { Intent, LoadReport } from "@cardamomglade/schema";
import {
  confirmPlan,
  planIntent,
  readPath,
} from "../harness/administration.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startStandIn, type FleetMember } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const engines = 4;
const routers = 3;
const nextVersion = "v2";
const weightBytes = 1_000_000;
const bytesPerSecond = 1_000_000;
const tokensPerAnswer = 40;
const askEveryMs = 60;
const pollEveryMs = 100;
const moveTimeoutMs = 25_000;
const unloadTimeoutMs = 10_000;
// Observing, committing and the store's rounds come to the expected time.
const slackMs = 5000;

interface Status {
  readonly serving: readonly unknown[];
  readonly revision: number;
}

const withNextVersion = (intent: Intent): Intent => ({
  ...intent,
  models: intent.models.map((model) => ({
    ...model,
    versions: [...model.versions, { version: nextVersion, weightBytes }],
  })),
  backEnds: intent.backEnds.map((backEnd) => ({
    ...backEnd,
    memoryBytes: 2 * weightBytes,
  })),
  deployments: intent.deployments.map((deployment) => ({
    ...deployment,
    version: nextVersion,
  })),
});

const askOne = async (fleet: Fleet, index: number): Promise<boolean> => {
  const prompt = `Sheet ${String(index)}`;
  const router = fleet.routers[index % fleet.routers.length];
  const { model } = fleetModel;
  const answer = await readAnswer({
    url: router?.callersUrl ?? "",
    key: callerKey(0),
    model,
    prompt,
    maxTokens: tokensPerAnswer,
  });
  const texts = [fleetModel.version, nextVersion].map((version) =>
    textOfTokens(
      expectedTokens({ model, version, prompt, maxTokens: tokensPerAnswer }),
    ),
  );
  return answer.isWhole && texts.includes(answer.text);
};

const loadedOn = async ({ url }: FleetMember): Promise<string> => {
  const res = await request(`${url}/load`);
  const { loaded } = (await res.body.json()) as LoadReport;
  return loaded.map(({ version }) => version).join();
};

const waitFor = async (
  isDone: () => Promise<boolean>,
  timeoutMs: number,
): Promise<number> => {
  const from = performance.now();
  while (!(await isDone())) {
    if (performance.now() - from > timeoutMs) return Infinity;
    await sleep(pollEveryMs);
  }
  return performance.now() - from;
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const [router] = fleet.routers;
  if (router === undefined) return [];
  const asked: Promise<boolean>[] = [];
  const timer = setInterval(() => {
    asked.push(askOne(fleet, asked.length));
  }, askEveryMs);
  const plan = await planIntent(router, withNextVersion(fleet.intent));
  const revision = await confirmPlan(router, plan);
  const isMoved = async () => {
    const status = await readPath<Status>(router, "/status");
    return status.revision > revision && status.serving.length === 0;
  };
  const tookMs = await waitFor(isMoved, moveTimeoutMs);
  clearInterval(timer);
  const answers = await Promise.all(asked);
  const isUnloaded = async () =>
    (await Promise.all(fleet.engines.map(loadedOn))).every(
      (loaded) => loaded === nextVersion,
    );
  const unloadMs = await waitFor(isUnloaded, unloadTimeoutMs);
  return [
    {
      name: "versions.callersFailed",
      value: answers.filter((isExact) => !isExact).length,
      unit: "callers",
      bound: { type: "atMost", value: 0 },
    },
    { name: "versions.answers", value: answers.length, unit: "answers" },
    { name: "versions.expected", value: plan.expectedMs, unit: "ms" },
    {
      name: "versions.took",
      value: Math.round(tookMs),
      unit: "ms",
      bound: { type: "atMost", value: plan.expectedMs + slackMs },
    },
    {
      name: "versions.unloadedWhenIdle",
      value: Math.round(unloadMs),
      unit: "ms",
      bound: { type: "atMost", value: unloadTimeoutMs },
    },
  ];
};

/** A version move: load, switch, unload. */
export const versions: Experiment = {
  name: "versions",
  description: "a deployment moves to another version and fails no caller",
  run: async () => {
    const weights = await startStandIn("weights", "weights", [
      "--bytes-per-second",
      String(bytesPerSecond),
    ]);
    const fleet = await Fleet.create({
      engines,
      routers,
      settings: { weightStore: { url: weights.url } },
    });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
      weights.process.signal("SIGKILL");
    }
  },
};
