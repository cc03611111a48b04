/** Parses a service call from a caller's HTTP request. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { err, ok, type Timestamp, type Result } from "@cardamomglade/common";
import { CallMethod, type Customer } from "@cardamomglade/schema";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type { ServiceRequest } from "../types.js";

/** Path prefix of calls to plain services. */
export const servicePathPrefix = "/v1/services/";

const isMethod = (method: string | undefined): method is CallMethod =>
  Object.values<string | undefined>(CallMethod).includes(method);

/** Values that do not come from the request's headers. */
export interface ServiceCallOptions {
  readonly customer: Customer;
  readonly body: string;
  readonly deadline: Timestamp;
}

/** Name of the service in a request path. */
export const serviceNameOf = (url: string): string =>
  url.slice(servicePathPrefix.length).split(/[/?]/)[0] ?? "";

/** The parsed call, or a typed error. */
export const parseServiceCall = (
  req: IncomingMessage,
  { customer, body, deadline }: ServiceCallOptions,
): Result<ServiceRequest, ApiError> => {
  const url = req.url ?? "";
  const service = serviceNameOf(url);
  const path = url.slice(servicePathPrefix.length + service.length) || "/";
  const { method } = req;
  if (!isMethod(method)) {
    const message = `method ${method ?? ""} is not served`;
    return err(notRunError(ErrorType.Malformed, message));
  }
  const key = req.headers["idempotency-key"];
  return ok({
    customer: customer.name,
    service,
    ...(typeof key === "string" ? { key } : {}),
    call: {
      requestId: randomUUID(),
      method,
      path,
      contentType: req.headers["content-type"] ?? "application/json",
      body,
      deadline,
    },
  });
};
