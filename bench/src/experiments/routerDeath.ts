/** Reads answers with the client library while one router is killed and another one is paused. */

import { setTimeout as sleep } from "node:timers/promises";
import { generate } from "@cardamomglade/client";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import type { Experiment, Row } from "../types.js";

const answerCount = 45;
const tokensPerAnswer = 200;
const faultAfterMs = 1500;
const pauseMs = 4000;
const maxResumeGapMs = 3000;

interface ClientAnswer {
  readonly text: string;
  readonly longestGapMs: number;
  readonly error: string | undefined;
}

const readWithClient = async (
  routers: readonly string[],
  prompt: string,
): Promise<ClientAnswer> => {
  let text = "";
  let lastEventAt: number | undefined;
  let longestGapMs = 0;
  const maxTokens = tokensPerAnswer;
  const { model } = fleetModel;
  const options = { routers, key: callerKey(0), model, prompt, maxTokens };
  try {
    for await (const event of generate(options)) {
      const at = performance.now();
      longestGapMs = Math.max(longestGapMs, at - (lastEventAt ?? at));
      lastEventAt = at;
      text += event.text;
    }
  } catch (err) {
    return { text, longestGapMs, error: String(err) };
  }
  return { text, longestGapMs, error: undefined };
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const urls = fleet.routers.map(({ callersUrl }) => callersUrl);
  const pendingAnswers = Array.from(
    { length: answerCount },
    async (_, index) => {
      const prompt = `Page ${String(index)}`;
      const first = index % urls.length;
      const rotatedUrls = [...urls.slice(first), ...urls.slice(0, first)];
      const maxTokens = tokensPerAnswer;
      const expected = expectedTokens({ ...fleetModel, prompt, maxTokens });
      const answer = await readWithClient(rotatedUrls, prompt);
      if (answer.error !== undefined) console.log(answer.error);
      return { ...answer, isExact: answer.text === textOfTokens(expected) };
    },
  );
  await sleep(faultAfterMs);
  const [killed, paused] = fleet.routers;
  killed?.process.signal("SIGKILL");
  paused?.process.signal("SIGSTOP");
  await sleep(pauseMs);
  paused?.process.signal("SIGCONT");
  const answers = await Promise.all(pendingAnswers);
  const gapsMs = answers.map(({ longestGapMs }) => longestGapMs);
  return [
    {
      name: "routerDeath.exactAnswers",
      value: answers.filter(({ isExact }) => isExact).length,
      unit: "answers",
      bound: { type: "atLeast", value: answerCount },
    },
    {
      name: "routerDeath.longestGap",
      value: Math.max(...gapsMs),
      unit: "ms",
      bound: { type: "atMost", value: maxResumeGapMs },
    },
  ];
};

/** Kills one of three routers and pauses another one. */
export const routerDeath: Experiment = {
  name: "router-death",
  description:
    "answers stay exact while one router is killed and another one is paused",
  run: async () => {
    const fleet = await Fleet.create({ engines: 4, routers: 3, services: 0 });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
