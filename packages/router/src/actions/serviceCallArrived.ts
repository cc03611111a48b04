/** Handles a caller's call of a plain service. */

import { RequestExecuted } from "@cardamomglade/common";
import { chooseBackEnd } from "@cardamomglade/decisions";
import type { CallPattern, Service } from "@cardamomglade/schema";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type { RouterState, ServiceRequest } from "../types.js";
import { candidatesOf } from "./candidatesOf.js";
import { startClaim } from "./ledgerClaims.js";
import type { EventHandler, RouterStep } from "./types.js";

const matches = (pattern: CallPattern, { call }: ServiceRequest): boolean => {
  if (pattern.method !== call.method) return false;
  return pattern.path.endsWith("*")
    ? call.path.startsWith(pattern.path.slice(0, -1))
    : call.path === pattern.path;
};

const isNonRepeatable = (service: Service, request: ServiceRequest): boolean =>
  service.nonRepeatable.some((pattern) => matches(pattern, request));

const refuse = (
  state: RouterState,
  requestId: string,
  error: ApiError,
): RouterStep => ({
  state,
  commands: [{ type: "failAnswer", requestId, error }],
});

/** Sends a call to a replica of its service. */
export const sendServiceCall = (
  state: RouterState,
  request: ServiceRequest,
): RouterStep => {
  const { requestId } = request.call;
  const service = state.config.services.get(request.service);
  const candidates = candidatesOf(state.config, service?.backEnds ?? []);
  const { zone, region } = state.router;
  const backEnd = chooseBackEnd(state.routing, {
    candidates,
    avoid: [],
    zone,
    region,
    prompt: "",
  });
  if (backEnd === undefined) {
    state.serviceCalls.delete(requestId);
    return refuse(
      state,
      requestId,
      notRunError(
        ErrorType.NoCapacity,
        `service "${request.service}" has no back end`,
      ),
    );
  }
  state.serviceCalls.set(requestId, { request, backEnd: backEnd.name });
  return {
    state,
    commands: [{ type: "callService", url: backEnd.url, call: request.call }],
  };
};

// A call with an idempotency key may repeat an earlier one. The ledger was not
// consulted, so it is unknown whether that call ran.
const refuseUnsentCall = (
  state: RouterState,
  { call, key }: ServiceRequest,
  type: ErrorType,
  message: string,
): RouterStep => {
  const ran = key === undefined ? RequestExecuted.No : RequestExecuted.Unknown;
  return refuse(state, call.requestId, { type, message, ran });
};

/** Sends a repeatable call immediately; a non-repeatable one is claimed in the ledger first. */
export const serviceCallArrived: EventHandler<"serviceCallArrived"> = (
  state,
  { request, at },
) => {
  const { requestId } = request.call;
  const { key, customer } = request;
  if (state.isDraining)
    return refuseUnsentCall(
      state,
      request,
      ErrorType.Draining,
      "this router is draining; the call was not sent",
    );
  const service = state.config.services.get(request.service);
  if (!service?.customers.includes(customer)) {
    return refuseUnsentCall(
      state,
      request,
      ErrorType.NotFound,
      `service "${request.service}" does not serve customer "${customer}"`,
    );
  }
  if (!isNonRepeatable(service, request))
    return sendServiceCall(state, request);
  if (key === undefined) {
    return refuse(
      state,
      requestId,
      notRunError(
        ErrorType.KeyMissing,
        "this call may not be repeated and needs an Idempotency-Key",
      ),
    );
  }
  state.serviceCalls.set(requestId, { request });
  return { state, commands: startClaim(state, request, key, at) };
};
