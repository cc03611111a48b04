/** Counts the attempts of a stream that deliver nothing. */

import { RequestKind } from "../../types.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { maxResumptionPauseMs, minResumptionPauseMs } from "./constants.js";

/** Pause after a number of attempts at replicas that were tried in vain before; others are tried at once. */
const pauseMsAfter = (repeatCount: number): number =>
  repeatCount === 0
    ? 0
    : Math.min(
        maxResumptionPauseMs,
        minResumptionPauseMs * 2 ** (repeatCount - 1),
      );

/** Counts a lost attempt that reached a replica and delivered nothing. */
export const noteFruitless = (
  { at }: RelayState,
  exchange: Exchange,
  { replica, isConnected, eventCount, head }: Attempt,
): void => {
  if (exchange.route.kind !== RequestKind.Streaming) return;
  if (!isConnected || eventCount > 0) return;
  const { fruitless } = exchange;
  const count = fruitless.count + 1;
  const replicas = new Set([...fruitless.replicas, replica.id]);
  const answered = head === undefined ? 0 : 1;
  exchange.fruitless = {
    count,
    replicas,
    answeredCount: fruitless.answeredCount + answered,
    resumeAt: at + pauseMsAfter(count - replicas.size),
  };
};
