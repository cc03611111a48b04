/** Responses and request parsing shared by the routes of the administration API. */

import { err, ok, type Result } from "@cardamomglade/common";
import { checkIntent, type WeightId } from "@cardamomglade/decisions";
import {
  checkDocument,
  validateIntent,
  type Finding,
  type Intent,
} from "@cardamomglade/schema";
import type { ValidateFunction } from "ajv";
import type { AdministrationResponse } from "./types.js";

/** An error response with optional further fields. */
export const errorResponse = (
  status: number,
  type: string,
  message: string,
  rest: object = {},
): AdministrationResponse => ({
  status,
  body: { error: { type, message }, ...rest },
});

/** Response if the key-value service cannot be reached and nothing was changed. */
export const storeUnavailableResponse = (
  message: string,
): AdministrationResponse => errorResponse(503, "storeUnavailable", message);

const malformedResponse = (
  findings: readonly Finding[],
): AdministrationResponse =>
  errorResponse(400, "malformed", "the request is malformed", { findings });

/** Validates a request's body; an invalid one yields the response that lists the findings. */
export const parseBody = <T>(
  body: string,
  validate: ValidateFunction<T>,
): Result<T, AdministrationResponse> => {
  const checked = checkDocument("request", body, validate);
  return checked.type === "ok"
    ? checked
    : err(malformedResponse(checked.error));
};

/** Validates an intent against its schema; an invalid one yields the response that lists the findings. */
export const parseIntent = (
  intent: object,
): Result<Intent, AdministrationResponse> => {
  const checked = checkDocument(
    "intent",
    JSON.stringify(intent),
    validateIntent,
  );
  return checked.type === "ok"
    ? checked
    : err(malformedResponse(checked.error));
};

/** Checks the rules that the schema cannot express; a violation yields the response that lists all of them. */
export const rejectInvalidIntent = (
  intent: Intent,
  weights?: readonly WeightId[],
): Result<Intent, AdministrationResponse> => {
  const faults = checkIntent(intent, weights);
  if (faults.length === 0) return ok(intent);
  const message = "the intent has faults";
  return err(errorResponse(422, "invalid", message, { findings: faults }));
};
