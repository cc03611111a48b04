/** Routes that create plans: for an intent, for draining a host, for undoing the last change. */

import { now, type Result } from "@cardamomglade/common";
import { diffIntents, type AcceptedConfig } from "@cardamomglade/decisions";
import {
  OperatorRight,
  validateDrainRequest,
  validatePlanRequest,
  type Intent,
} from "@cardamomglade/schema";
import {
  errorResponse,
  parseBody,
  parseIntent,
  rejectInvalidIntent,
  storeUnavailableResponse,
} from "./responses.js";
import { makePlan } from "./makePlan.js";
import { readPlanInputs, type PlanInputSources } from "./readPlanInputs.js";
import type {
  AdministrationResponse,
  AdministrationRequest,
  AdministrationRoute,
} from "./types.js";

const readTimeoutMs = 3000;

const respondWithPlan = async (
  options: PlanInputSources,
  intent: Intent,
): Promise<AdministrationResponse> => {
  const read = await readPlanInputs(options, intent);
  if (read.type === "err") return storeUnavailableResponse(read.error);
  const checked = rejectInvalidIntent(intent, read.value.weights);
  if (checked.type === "err") return checked.error;
  return { status: 200, body: makePlan(read.value, intent) };
};

const planIntent = async (
  options: PlanInputSources,
  { body }: AdministrationRequest,
): Promise<AdministrationResponse> => {
  const parsed = parseBody(body, validatePlanRequest);
  if (parsed.type === "err") return parsed.error;
  const intent = parseIntent(parsed.value.intent);
  return intent.type === "err"
    ? intent.error
    : respondWithPlan(options, intent.value);
};

const planDrain = async (
  options: PlanInputSources,
  { body }: AdministrationRequest,
): Promise<AdministrationResponse> => {
  const parsed = parseBody(body, validateDrainRequest);
  if (parsed.type === "err") return parsed.error;
  const { host, emptyBy } = parsed.value;
  const stored = await options.store.read(now() + readTimeoutMs);
  if (stored.type === "err") return storeUnavailableResponse(stored.error);
  const current = stored.value.config?.intent;
  if (current === undefined)
    return errorResponse(404, "notFound", "there is no configuration yet");
  const others = current.leaving.filter((one) => one.host !== host);
  const intent = parseIntent({
    ...current,
    leaving: [...others, { host, emptyBy }],
  });
  return intent.type === "err"
    ? intent.error
    : respondWithPlan(options, intent.value);
};

/** The newest earlier revision with a different intent. */
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
}: PlanInputSources): Promise<Result<AcceptedConfig | undefined, string>> => {
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
  options: PlanInputSources,
): Promise<AdministrationResponse> => {
  const previous = await readPrevious(options);
  if (previous.type === "err") return storeUnavailableResponse(previous.error);
  return previous.value === undefined
    ? errorResponse(404, "notFound", "no earlier revision is kept")
    : respondWithPlan(options, previous.value.intent);
};

/** `POST /plan`, `/drain` and `/undo`: return a plan and change nothing. */
export const createPlanRoutes = (
  options: PlanInputSources,
): AdministrationRoute[] => {
  const right = OperatorRight.Plan;
  const method = "POST";
  return [
    { method, path: "/plan", right, handle: (req) => planIntent(options, req) },
    { method, path: "/drain", right, handle: (req) => planDrain(options, req) },
    { method, path: "/undo", right, handle: () => planUndo(options) },
  ];
};
