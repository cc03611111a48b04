/**
 * Cancels a generation until its end is known. Load pattern: connections to an engine are
 * reset or fall silent while the engine works on, and new ones get through.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { request, type Agent, type Dispatcher } from "undici";
import { abortSignalAt, now } from "@cardamomglade/common";
import { CancelOutcome } from "./types.js";

/** A generation that its reader cancels. */
export interface CancelledGeneration {
  /** Keeps no connections, so that each try has one of its own. */
  readonly agent: Agent;
  /** URL of the stream. */
  readonly url: string;
  readonly reader: string;
  /** Whether the engine is known to have started it; if not, its request may still arrive there. */
  readonly hasBegun: boolean;
}

/** Time for one try. */
const tryTimeoutMs = 200;

/** A process that ends closes its connections before it refuses new ones. */
const minRetryDelayMs = 5;
const maxRetryDelayMs = 2000;

/** Time after which an engine that never answers is asked no more. */
const maxCancelMs = 10 * 60 * 1000;

const notFoundStatus = 404;
const otherReaderStatus = 409;

const isRefused = (error: unknown): boolean =>
  error instanceof Error && "code" in error && error.code === "ECONNREFUSED";

/** Calls back once the request has a connection. */
const notifyConnected =
  (onConnected: () => void): Dispatcher.DispatcherComposeInterceptor =>
  (dispatch) =>
  (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        onConnected();
        handler.onRequestStart?.(controller, context);
      },
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });

const outcomeOfStatus = (
  status: number,
  { hasBegun }: CancelledGeneration,
  tries: number,
): CancelOutcome => {
  // The request of a generation that has not begun may arrive after its cancellation.
  if (status === notFoundStatus)
    return hasBegun || tries > 1
      ? CancelOutcome.Ended
      : CancelOutcome.Unanswered;
  if (status === otherReaderStatus) return CancelOutcome.TakenOver;
  return status < 300 ? CancelOutcome.Ended : CancelOutcome.Unanswered;
};

const sendCancel = async (
  { agent, url, reader }: CancelledGeneration,
  onConnected: () => void,
): Promise<number> => {
  const res = await request(url, {
    method: "DELETE",
    query: { reader },
    dispatcher: agent.compose(notifyConnected(onConnected)),
    signal: abortSignalAt(now() + tryTimeoutMs),
  });
  void res.body.dump().catch(() => undefined);
  return res.statusCode;
};

// Undici rejects an aborted request only once it has a connection.
const failAfterTimeout = async (): Promise<never> => {
  await sleep(tryTimeoutMs, undefined, { ref: false });
  throw new Error("no answer in time");
};

const tryCancel = async (
  generation: CancelledGeneration,
  tries: number,
): Promise<CancelOutcome> => {
  const connection = { isOpen: false };
  const onConnected = () => {
    connection.isOpen = true;
  };
  try {
    const status = await Promise.race([
      sendCancel(generation, onConnected),
      failAfterTimeout(),
    ]);
    return outcomeOfStatus(status, generation, tries);
  } catch (error) {
    if (isRefused(error)) return CancelOutcome.Ended;
    return connection.isOpen
      ? CancelOutcome.Unanswered
      : CancelOutcome.Unreachable;
  }
};

const isFinal = (outcome: CancelOutcome): boolean =>
  outcome === CancelOutcome.Ended || outcome === CancelOutcome.TakenOver;

/** Cancels a generation, and calls back with the outcome of each try until it is known to have ended. */
export const cancelGeneration = async (
  generation: CancelledGeneration,
  onOutcome: (outcome: CancelOutcome) => void,
): Promise<void> => {
  const giveUpAt = now() + maxCancelMs;
  let delayMs = minRetryDelayMs;
  for (let tries = 1; now() < giveUpAt; tries += 1) {
    const outcome = await tryCancel(generation, tries);
    if (generation.agent.destroyed) return;
    onOutcome(outcome);
    if (isFinal(outcome)) return;
    await sleep(delayMs, undefined, { ref: false });
    delayMs = Math.min(maxRetryDelayMs, 2 * delayMs);
  }
};
