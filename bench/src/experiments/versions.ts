/** Changes a deployment's model version under load, by a confirmed plan. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import type { Intent, LoadReport } from "@cardamomglade/schema";
import { confirmPlan, planIntent, getJson } from "../harness/administration.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startStandIn, type FleetMember } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const engineCount = 4;
const routerCount = 3;
const nextVersion = "v2";
const weightBytes = 1_000_000;
const bytesPerSecond = 1_000_000;
const tokensPerAnswer = 40;
const requestIntervalMs = 60;
const pollIntervalMs = 100;
const versionChangeTimeoutMs = 25_000;
const unloadTimeoutMs = 10_000;
// Added to the plan's expected time: observation of the loaded versions, the commit, and round trips to the key-value store.
const marginMs = 5000;

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

const requestAnswer = async (fleet: Fleet, index: number): Promise<boolean> => {
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
  const expectedTexts = [fleetModel.version, nextVersion].map((version) =>
    textOfTokens(
      expectedTokens({ model, version, prompt, maxTokens: tokensPerAnswer }),
    ),
  );
  return answer.isWhole && expectedTexts.includes(answer.text);
};

const readLoadedVersions = async ({ url }: FleetMember): Promise<string> => {
  const res = await request(`${url}/load`);
  const { loaded } = (await res.body.json()) as LoadReport;
  return loaded.map(({ version }) => version).join();
};

const measureWaitMs = async (
  isDone: () => Promise<boolean>,
  timeoutMs: number,
): Promise<number> => {
  const startedAt = performance.now();
  while (!(await isDone())) {
    if (performance.now() - startedAt > timeoutMs) return Infinity;
    await sleep(pollIntervalMs);
  }
  return performance.now() - startedAt;
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const [router] = fleet.routers;
  if (router === undefined) return [];
  const pendingAnswers: Promise<boolean>[] = [];
  const timer = setInterval(() => {
    pendingAnswers.push(requestAnswer(fleet, pendingAnswers.length));
  }, requestIntervalMs);
  const plan = await planIntent(router, withNextVersion(fleet.intent));
  const revision = await confirmPlan(router, plan);
  const hasChangedVersion = async () => {
    const status = await getJson<Status>(router, "/status");
    return status.revision > revision && status.serving.length === 0;
  };
  const changeMs = await measureWaitMs(
    hasChangedVersion,
    versionChangeTimeoutMs,
  );
  clearInterval(timer);
  const answers = await Promise.all(pendingAnswers);
  const isUnloaded = async () =>
    (await Promise.all(fleet.engines.map(readLoadedVersions))).every(
      (loaded) => loaded === nextVersion,
    );
  const unloadMs = await measureWaitMs(isUnloaded, unloadTimeoutMs);
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
      value: Math.round(changeMs),
      unit: "ms",
      bound: { type: "atMost", value: plan.expectedMs + marginMs },
    },
    {
      name: "versions.unloadedWhenIdle",
      value: Math.round(unloadMs),
      unit: "ms",
      bound: { type: "atMost", value: unloadTimeoutMs },
    },
  ];
};

/** Changes the model version: load the new version, switch to it, unload the old one. */
export const versions: Experiment = {
  name: "versions",
  description: "a deployment changes its version without failing a caller",
  run: async () => {
    const weights = await startStandIn("weights", "weights", [
      "--bytes-per-second",
      String(bytesPerSecond),
    ]);
    const fleet = await Fleet.create({
      engines: engineCount,
      routers: routerCount,
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
