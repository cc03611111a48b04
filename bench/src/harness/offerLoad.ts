/** Open-loop load: requests arrive as a Poisson process, independent of earlier responses. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";
import { fleetModel } from "./fleet.js";
import type { FleetRouter } from "./fleetMembers.js";
import { readAnswer, type ReadAnswer } from "./readAnswer.js";

/** Target for the time to first token. */
export const firstTokenTargetMs = 1200;

/** A request of a load. */
export interface OfferedRequest {
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Rate, duration and requests of a load. */
export interface LoadOptions {
  readonly routers: readonly FleetRouter[];
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  /** Returns the request with an index; `random` is uniform in [0, 1). */
  readonly requestOf: (index: number, random: () => number) => OfferedRequest;
}

/** A request and its answer. */
export interface OfferedAnswer {
  readonly request: OfferedRequest;
  readonly answer: ReadAnswer;
  /** Scheduled time of the request, from the start of the load. */
  readonly sinceMs: number;
}

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Creates a seeded random number generator. */
export const createRandom = (seed: number): (() => number) => {
  let state: RandomState = seedRandom(seed);
  return () => {
    const drawn = nextRandom(state);
    state = drawn.state;
    return drawn.value;
  };
};

/** Sends the load and reads every answer to its end. */
export const offerLoad = async (
  options: LoadOptions,
): Promise<OfferedAnswer[]> => {
  const random = createRandom(options.seed);
  const responses: Promise<OfferedAnswer>[] = [];
  const startedAt = performance.now();
  let dueMs = 0;
  for (let index = 0; ; index += 1) {
    dueMs -= (Math.log(1 - random()) * 1000) / options.perSecond;
    if (dueMs > options.forMs) break;
    const waitMs = dueMs - (performance.now() - startedAt);
    if (waitMs > 1) await delay(waitMs);
    const request = options.requestOf(index, random);
    const router = options.routers[index % options.routers.length];
    const url = router?.callersUrl ?? "";
    const { model } = fleetModel;
    const sinceMs = dueMs;
    const read = readAnswer({ url, model, ...request });
    responses.push(read.then((answer) => ({ request, answer, sinceMs })));
  }
  return Promise.all(responses);
};

/** Returns the time to first token; infinite if there was none. */
export const firstTokenMs = ({ answer }: OfferedAnswer): number =>
  (answer.chunkTimes[0] ?? Infinity) - answer.sentAt;

/** Returns the times between the token chunks of an answer; the last chunk, which has no tokens, is left out. */
export const betweenTokensMs = ({ answer }: OfferedAnswer): number[] => {
  const times = answer.chunkTimes.slice(0, -1);
  return times.slice(1).map((at, index) => at - (times[index] ?? at));
};

/** Whether an answer is complete, without error and within the time-to-first-token target. */
export const isWithinTarget = (offered: OfferedAnswer): boolean =>
  offered.answer.isWhole &&
  offered.answer.error === undefined &&
  firstTokenMs(offered) <= firstTokenTargetMs;
