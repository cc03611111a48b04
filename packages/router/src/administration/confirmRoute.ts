/** Confirms a plan; operators can change the configuration only this way. */

import { now } from "@cardamomglade/common";
import {
  diffIntents,
  initialServing,
  type AcceptedConfig,
} from "@cardamomglade/decisions";
import {
  OperatorRight,
  validateConfirmRequest,
  type ConfirmRequest,
  type Intent,
  type Plan,
} from "@cardamomglade/schema";
import type { CommitOutcome } from "../configuration/configStore.js";
import {
  errorResponse,
  parseBody,
  parseIntent,
  rejectInvalidIntent,
  storeUnavailableResponse,
} from "./responses.js";
import { makePlan } from "./makePlan.js";
import {
  readPlanInputs,
  type PlanInputs,
  type PlanInputSources,
} from "./readPlanInputs.js";
import type {
  AdministrationResponse,
  AdministrationRequest,
  AdministrationRoute,
} from "./types.js";

const readTimeoutMs = 2000;
const commitTimeoutMs = 5000;

interface Confirmation {
  readonly options: PlanInputSources;
  readonly request: ConfirmRequest;
  readonly intent: Intent;
  readonly operator: string;
}

const summaryOf = (config: AcceptedConfig | undefined) => ({
  revision: config?.revision ?? 0,
  ...config?.change,
});

/** Conflict response: the changes since the plan's base revision and the changes that this plan makes. */
const conflictResponse = async (
  { options, request, intent }: Confirmation,
  read: PlanInputs,
  fresh: Plan,
): Promise<AdministrationResponse> => {
  const history = await options.store.history(now() + readTimeoutMs);
  const revisions = history.type === "ok" ? history.value : [];
  const base = revisions.find(
    ({ revision }) => revision === request.baseRevision,
  );
  const current = read.snapshot.accepted;
  const isSuperseded = current.revision !== request.baseRevision;
  const message = isSuperseded
    ? `revision ${String(current.revision)} was accepted after revision ${String(request.baseRevision)}, which the plan is based on`
    : "the world has changed since the plan was made";
  const differences = (target: Intent) =>
    base === undefined ? [] : diffIntents(base.intent, target);
  return errorResponse(409, "race", message, {
    yours: { differences: differences(intent) },
    theirs: {
      ...summaryOf(current),
      differences: differences(current.intent),
    },
    fresh,
  });
};

const findConfirmed = async ({
  options,
  request,
}: Confirmation): Promise<AcceptedConfig | undefined> => {
  const history = await options.store.history(now() + readTimeoutMs);
  if (history.type === "err") return undefined;
  return history.value.find(
    ({ change }) => change?.changeId === request.digest,
  );
};

const confirmedResponse = (
  revision: number,
  isEarlier: boolean,
): AdministrationResponse => ({ status: 200, body: { revision, isEarlier } });

const commit = async (
  { options, request, intent, operator }: Confirmation,
  { stored, snapshot }: PlanInputs,
): Promise<CommitOutcome> => {
  const { digest, why } = request;
  const next: AcceptedConfig = {
    revision: snapshot.accepted.revision + 1,
    intent,
    serving: initialServing(snapshot, intent),
    change: {
      by: operator,
      why,
      at: now(),
      planDigest: digest,
      changeId: digest,
    },
  };
  return options.store.commit(stored, next, now() + commitTimeoutMs);
};

const confirmPlan = async (
  confirmation: Confirmation,
): Promise<AdministrationResponse> => {
  const { options, request, intent } = confirmation;
  const read = await readPlanInputs(options, intent);
  if (read.type === "err") return storeUnavailableResponse(read.error);
  const fresh = makePlan(read.value, intent);
  if (fresh.digest !== request.digest) {
    const confirmed = await findConfirmed(confirmation);
    return confirmed === undefined
      ? conflictResponse(confirmation, read.value, fresh)
      : confirmedResponse(confirmed.revision, true);
  }
  const checked = rejectInvalidIntent(intent, read.value.weights);
  if (checked.type === "err") return checked.error;
  if (fresh.unmet.length > 0 && !request.acceptUnmet)
    return errorResponse(422, "unmet", "the plan cannot be met in full", {
      fresh,
    });
  const outcome = await commit(confirmation, read.value);
  if (outcome.type === "committed")
    return confirmedResponse(outcome.revision, false);
  if (outcome.type === "unknown")
    return errorResponse(
      504,
      "unknown",
      "the store did not answer; confirm the same plan again to find out",
    );
  const reread = await readPlanInputs(options, intent);
  if (reread.type === "err") return storeUnavailableResponse(reread.error);
  return conflictResponse(
    confirmation,
    reread.value,
    makePlan(reread.value, intent),
  );
};

const confirm = async (
  options: PlanInputSources,
  { body, operator }: AdministrationRequest,
): Promise<AdministrationResponse> => {
  const parsed = parseBody(body, validateConfirmRequest);
  if (parsed.type === "err") return parsed.error;
  const request = parsed.value;
  const intent = parseIntent(request.intent);
  if (intent.type === "err") return intent.error;
  return confirmPlan({ options, request, intent: intent.value, operator });
};

/** `POST /confirm`: commits a plan. */
export const createConfirmRoute = (
  options: PlanInputSources,
): AdministrationRoute => ({
  method: "POST",
  path: "/confirm",
  right: OperatorRight.Confirm,
  handle: (request) => confirm(options, request),
});
