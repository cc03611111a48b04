/** Streams answers while one engine is killed and another one freezes. */

import { expectedTokens, textOfTokens } from "@cardamomglade/stand-ins";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { injectStandInFault } from "../harness/fleetMembers.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const answerCount = 12;
const tokensPerAnswer = 200;
const faultAfterMs = 1500;
const freezeMs = 3000;

const run = async (fleet: Fleet): Promise<Row[]> => {
  const pendingAnswers = Array.from(
    { length: answerCount },
    async (_, index) => {
      const prompt = `Caption list ${String(index)}`;
      const expected = textOfTokens(
        expectedTokens({ ...fleetModel, prompt, maxTokens: tokensPerAnswer }),
      );
      const router = fleet.routers[index % fleet.routers.length];
      const answer = await readAnswer({
        url: router?.callersUrl ?? "",
        key: callerKey(0),
        model: fleetModel.model,
        prompt,
        maxTokens: tokensPerAnswer,
      });
      return answer.isWhole && answer.text === expected;
    },
  );
  await new Promise((resolve) => setTimeout(resolve, faultAfterMs));
  const [killed, frozen] = fleet.engines;
  killed?.process.signal("SIGKILL");
  if (frozen !== undefined) {
    await injectStandInFault(frozen, { type: "freeze", forMs: freezeMs });
  }
  const exactCount = (await Promise.all(pendingAnswers)).filter(Boolean).length;
  return [
    {
      name: "smoke.exactAnswers",
      value: exactCount,
      unit: "answers",
      bound: { type: "atLeast", value: answerCount },
    },
  ];
};

/** A short run of the whole system with two engine faults. */
export const smoke: Experiment = {
  name: "smoke",
  description:
    "answers stay exact while one engine is killed and another one freezes",
  run: async () => {
    const fleet = await Fleet.create({ engines: 4, routers: 3 });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
