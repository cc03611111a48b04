/** Open load: requests arrive at random moments, whatever became of earlier ones. */

import {
  nextRandom,
  seedRandom,
  type RandomState,
} from "@cardamomglade/common";
import { fleetModel } from "./fleet.js";
import type { FleetRouter } from "./fleetMembers.js";
import { readAnswer, type ReadAnswer } from "./readAnswer.js";

/** Time to the first token that callers are promised. */
export const firstTokenTargetMs = 1200;

/** One request of a load. */
export interface OfferedRequest {
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A load to offer. */
export interface LoadOptions {
  readonly routers: readonly FleetRouter[];
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  /** The request with an index; `random` is uniform in [0, 1). */
  readonly requestOf: (index: number, random: () => number) => OfferedRequest;
}

/** An answer and the request that it belongs to. */
export interface OfferedAnswer {
  readonly request: OfferedRequest;
  readonly answer: ReadAnswer;
  /** Time from the load's begin to the request. */
  readonly sinceMs: number;
}

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** A source of random numbers from a seed. */
export const createRandom = (seed: number): (() => number) => {
  let state: RandomState = seedRandom(seed);
  return () => {
    const drawn = nextRandom(state);
    state = drawn.state;
    return drawn.value;
  };
};

/** Offers the load and reads every answer to its end. */
export const offerLoad = async (
  options: LoadOptions,
): Promise<OfferedAnswer[]> => {
  const random = createRandom(options.seed);
  const asked: Promise<OfferedAnswer>[] = [];
  const startedAt = performance.now();
  let dueMs = 0;
  for (let index = 0; ; index += 1) {
    dueMs -= (Math.log(1 - random()) * 1000) / options.perSecond;
    if (dueMs > options.forMs) break;
    const aheadMs = dueMs - (performance.now() - startedAt);
    if (aheadMs > 1) await pause(aheadMs);
    const request = options.requestOf(index, random);
    const router = options.routers[index % options.routers.length];
    const url = router?.callersUrl ?? "";
    const { model } = fleetModel;
    const sinceMs = dueMs;
    const read = readAnswer({ url, model, ...request });
    asked.push(read.then((answer) => ({ request, answer, sinceMs })));
  }
  return Promise.all(asked);
};

/** Time to an answer's first token; infinite where none came. */
export const firstTokenMs = ({ answer }: OfferedAnswer): number =>
  (answer.partsAt[0] ?? Infinity) - answer.askedAt;

/** Times between an answer's parts that carry tokens. */
export const betweenTokensMs = ({ answer }: OfferedAnswer): number[] => {
  const times = answer.partsAt.slice(0, -1);
  return times.slice(1).map((at, index) => at - (times[index] ?? at));
};

/** Whether an answer is whole and began in time. */
export const isGood = (offered: OfferedAnswer): boolean =>
  offered.answer.isWhole &&
  offered.answer.error === undefined &&
  firstTokenMs(offered) <= firstTokenTargetMs;
