/** Routes that make plans: for an intent, for leaving a host, for going back. */

import { now, type Result } from "@cardamomglade/common";
import { diffIntents, type AcceptedConfig } from "@cardamomglade/decisions";
import {
  OperatorRight,
  validateDrainRequest,
  validatePlanRequest,
  type Intent,
} from "@cardamomglade/schema";
import {
  failAnswer,
  parseBody,
  parseIntent,
  refuseFaults,
  storeUnavailable,
} from "./answers.js";
import { makePlan } from "./makePlan.js";
import { readWorld, type WorldOptions } from "./readWorld.js";
import type {
  AdministrationAnswer,
  AdministrationRequest,
  AdministrationRoute,
} from "./types.js";

const readTimeoutMs = 3000;

const planFor = async (
  options: WorldOptions,
  intent: Intent,
): Promise<AdministrationAnswer> => {
  const read = await readWorld(options, intent);
  if (read.type === "err") return storeUnavailable(read.error);
  const sound = refuseFaults(intent, read.value.weights);
  if (sound.type === "err") return sound.error;
  return { status: 200, body: makePlan(read.value, intent) };
};

const planIntent = async (
  options: WorldOptions,
  { body }: AdministrationRequest,
): Promise<AdministrationAnswer> => {
  const parsed = parseBody(body, validatePlanRequest);
  if (parsed.type === "err") return parsed.error;
  const intent = parseIntent(parsed.value.intent);
  return intent.type === "err" ? intent.error : planFor(options, intent.value);
};

const planDrain = async (
  options: WorldOptions,
  { body }: AdministrationRequest,
): Promise<AdministrationAnswer> => {
  const parsed = parseBody(body, validateDrainRequest);
  if (parsed.type === "err") return parsed.error;
  const { host, emptyBy } = parsed.value;
  const stored = await options.store.read(now() + readTimeoutMs);
  if (stored.type === "err") return storeUnavailable(stored.error);
  const current = stored.value.config?.intent;
  if (current === undefined)
    return failAnswer(404, "notFound", "there is no configuration yet");
  const others = current.leaving.filter((one) => one.host !== host);
  const intent = parseIntent({
    ...current,
    leaving: [...others, { host, emptyBy }],
  });
  return intent.type === "err" ? intent.error : planFor(options, intent.value);
};

/** The newest earlier revision that meant something else. */
const previousOf = (
  history: readonly AcceptedConfig[],
  current: AcceptedConfig,
): AcceptedConfig | undefined =>
  history.findLast(
    ({ revision, intent }) =>
      revision < current.revision &&
      diffIntents(intent, current.intent).length > 0,
  );

const readPrevious = async ({
  store,
}: WorldOptions): Promise<Result<AcceptedConfig | undefined, string>> => {
  const deadline = now() + readTimeoutMs;
  const [current, history] = await Promise.all([
    store.read(deadline),
    store.history(deadline),
  ]);
  if (current.type === "err") return current;
  if (history.type === "err") return history;
  const { config } = current.value;
  const value =
    config === undefined ? undefined : previousOf(history.value, config);
  return { type: "ok", value };
};

const planUndo = async (
  options: WorldOptions,
): Promise<AdministrationAnswer> => {
  const previous = await readPrevious(options);
  if (previous.type === "err") return storeUnavailable(previous.error);
  return previous.value === undefined
    ? failAnswer(404, "notFound", "no earlier revision is kept")
    : planFor(options, previous.value.intent);
};

/** `POST /plan`, `/drain` and `/undo`; they change nothing. */
export const createPlanRoutes = (
  options: WorldOptions,
): AdministrationRoute[] => {
  const right = OperatorRight.Plan;
  const method = "POST";
  return [
    { method, path: "/plan", right, handle: (req) => planIntent(options, req) },
    { method, path: "/drain", right, handle: (req) => planDrain(options, req) },
    { method, path: "/undo", right, handle: () => planUndo(options) },
  ];
};
