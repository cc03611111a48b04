/** Confirmation of a plan: the only way to change the configuration. */

import { now } from "@cardamomglade/common";
import {
  diffIntents,
  firstServing,
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
  failAnswer,
  parseBody,
  parseIntent,
  refuseFaults,
  storeUnavailable,
} from "./answers.js";
import { makePlan } from "./makePlan.js";
import { readWorld, type ReadWorld, type WorldOptions } from "./readWorld.js";
import type {
  AdministrationAnswer,
  AdministrationRequest,
  AdministrationRoute,
} from "./types.js";

const readTimeoutMs = 2000;
const commitTimeoutMs = 5000;

interface Confirmation {
  readonly options: WorldOptions;
  readonly request: ConfirmRequest;
  readonly intent: Intent;
  readonly operator: string;
}

const summaryOf = (config: AcceptedConfig | undefined) => ({
  revision: config?.revision ?? 0,
  ...config?.change,
});

/** Both sides of a race: what changed since the base, and what this plan wants. */
const raceAnswer = async (
  { options, request, intent }: Confirmation,
  read: ReadWorld,
  fresh: Plan,
): Promise<AdministrationAnswer> => {
  const history = await options.store.history(now() + readTimeoutMs);
  const kept = history.type === "ok" ? history.value : [];
  const base = kept.find(({ revision }) => revision === request.baseRevision);
  const current = read.world.accepted;
  const isOvertaken = current.revision !== request.baseRevision;
  const message = isOvertaken
    ? `revision ${String(current.revision)} was accepted after revision ${String(request.baseRevision)}, which the plan is based on`
    : "the world has changed since the plan was made";
  const differences = (target: Intent) =>
    base === undefined ? [] : diffIntents(base.intent, target);
  return failAnswer(409, "race", message, {
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

const confirmedAnswer = (
  revision: number,
  isEarlier: boolean,
): AdministrationAnswer => ({ status: 200, body: { revision, isEarlier } });

const commit = async (
  { options, request, intent, operator }: Confirmation,
  { stored, world }: ReadWorld,
): Promise<CommitOutcome> => {
  const { digest, why } = request;
  const next: AcceptedConfig = {
    revision: world.accepted.revision + 1,
    intent,
    serving: firstServing(world, intent),
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
): Promise<AdministrationAnswer> => {
  const { options, request, intent } = confirmation;
  const read = await readWorld(options, intent);
  if (read.type === "err") return storeUnavailable(read.error);
  const fresh = makePlan(read.value, intent);
  if (fresh.digest !== request.digest) {
    const confirmed = await findConfirmed(confirmation);
    return confirmed === undefined
      ? raceAnswer(confirmation, read.value, fresh)
      : confirmedAnswer(confirmed.revision, true);
  }
  const sound = refuseFaults(intent, read.value.weights);
  if (sound.type === "err") return sound.error;
  if (fresh.unmet.length > 0 && !request.acceptUnmet)
    return failAnswer(422, "unmet", "the plan cannot be met in full", {
      fresh,
    });
  const outcome = await commit(confirmation, read.value);
  if (outcome.type === "committed")
    return confirmedAnswer(outcome.revision, false);
  if (outcome.type === "unknown")
    return failAnswer(
      504,
      "unknown",
      "the store did not answer; confirm the same plan again to find out",
    );
  const again = await readWorld(options, intent);
  if (again.type === "err") return storeUnavailable(again.error);
  return raceAnswer(confirmation, again.value, makePlan(again.value, intent));
};

const confirm = async (
  options: WorldOptions,
  { body, operator }: AdministrationRequest,
): Promise<AdministrationAnswer> => {
  const parsed = parseBody(body, validateConfirmRequest);
  if (parsed.type === "err") return parsed.error;
  const request = parsed.value;
  const intent = parseIntent(request.intent);
  if (intent.type === "err") return intent.error;
  return confirmPlan({ options, request, intent: intent.value, operator });
};

/** `POST /confirm`. */
export const createConfirmRoute = (
  options: WorldOptions,
): AdministrationRoute => ({
  method: "POST",
  path: "/confirm",
  right: OperatorRight.Confirm,
  handle: (request) => confirm(options, request),
});
