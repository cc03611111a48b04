/** Answers through the death and the pause of a router, read by the caller library. */

import { setTimeout as sleep } from "node:timers/promises";
import { generate } from "@cardamomglade/client";
import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import type { Experiment, Row } from "../types.js";

const answers = 45;
const tokensPerAnswer = 200;
const faultAfterMs = 1500;
const pauseMs = 4000;
const resumeWithinMs = 3000;

interface ReadByLibrary {
  readonly text: string;
  readonly longestGapMs: number;
  readonly error: string | undefined;
}

const read = async (
  routers: readonly string[],
  prompt: string,
): Promise<ReadByLibrary> => {
  let text = "";
  let lastAt: number | undefined;
  let longestGapMs = 0;
  const maxTokens = tokensPerAnswer;
  const { model } = fleetModel;
  const options = { routers, key: callerKey(0), model, prompt, maxTokens };
  try {
    for await (const part of generate(options)) {
      const at = performance.now();
      longestGapMs = Math.max(longestGapMs, at - (lastAt ?? at));
      lastAt = at;
      text += part.text;
    }
  } catch (failure) {
    return { text, longestGapMs, error: String(failure) };
  }
  return { text, longestGapMs, error: undefined };
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  const urls = fleet.routers.map(({ callersUrl }) => callersUrl);
  const asked = Array.from({ length: answers }, async (_, index) => {
    const prompt = `Page ${String(index)}`;
    const first = index % urls.length;
    const turned = [...urls.slice(first), ...urls.slice(0, first)];
    const maxTokens = tokensPerAnswer;
    const expected = expectedTokens({ ...fleetModel, prompt, maxTokens });
    const answer = await read(turned, prompt);
    if (answer.error !== undefined) console.log(answer.error);
    return { ...answer, isExact: answer.text === textOfTokens(expected) };
  });
  await sleep(faultAfterMs);
  const [killed, paused] = fleet.routers;
  killed?.process.signal("SIGKILL");
  paused?.process.signal("SIGSTOP");
  await sleep(pauseMs);
  paused?.process.signal("SIGCONT");
  const done = await Promise.all(asked);
  const gaps = done.map(({ longestGapMs }) => longestGapMs);
  return [
    {
      name: "routerDeath.exactAnswers",
      value: done.filter(({ isExact }) => isExact).length,
      unit: "answers",
      bound: { type: "atLeast", value: answers },
    },
    {
      name: "routerDeath.longestGap",
      value: Math.max(...gaps),
      unit: "ms",
      bound: { type: "atMost", value: resumeWithinMs },
    },
  ];
};

/** One router of three is killed, one is paused. */
export const routerDeath: Experiment = {
  name: "router-death",
  description: "answers stay exact while one router dies and one is paused",
  run: async () => {
    const fleet = await Fleet.create({ engines: 4, routers: 3, services: 0 });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
