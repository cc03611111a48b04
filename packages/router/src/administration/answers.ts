/** Answers shared by the routes of the administration API. */

import { err, ok, type Result } from "@cardamomglade/common";
import { checkIntent, type WeightName } from "@cardamomglade/decisions";
import {
  checkDocument,
  validateIntent,
  type Finding,
  type Intent,
} from "@cardamomglade/schema";
import type { ValidateFunction } from "ajv";
import type { AdministrationAnswer } from "./types.js";

/** An error with its type and what belongs to it. */
export const failAnswer = (
  status: number,
  type: string,
  message: string,
  rest: object = {},
): AdministrationAnswer => ({
  status,
  body: { error: { type, message }, ...rest },
});

/** The key-value service cannot be reached, so nothing was changed. */
export const storeUnavailable = (message: string): AdministrationAnswer =>
  failAnswer(503, "storeUnavailable", message);

const malformed = (findings: readonly Finding[]): AdministrationAnswer =>
  failAnswer(400, "malformed", "the request is malformed", { findings });

/** A request's body, or the answer that lists its findings. */
export const parseBody = <T>(
  body: string,
  validate: ValidateFunction<T>,
): Result<T, AdministrationAnswer> => {
  const checked = checkDocument("request", body, validate);
  return checked.type === "ok" ? checked : err(malformed(checked.error));
};

/** An intent of a request, or the answer that lists every finding. */
export const parseIntent = (
  intent: object,
): Result<Intent, AdministrationAnswer> => {
  const checked = checkDocument(
    "intent",
    JSON.stringify(intent),
    validateIntent,
  );
  return checked.type === "ok" ? checked : err(malformed(checked.error));
};

/** The intent, or the answer that lists every fault of it. */
export const refuseFaults = (
  intent: Intent,
  weights?: readonly WeightName[],
): Result<Intent, AdministrationAnswer> => {
  const faults = checkIntent(intent, weights);
  if (faults.length === 0) return ok(intent);
  const message = "the intent has faults";
  return err(failAnswer(422, "invalid", message, { findings: faults }));
};
