/** Sends a typed error as the response to a request. */

import type { ServerResponse } from "node:http";
import { statusOf, type ApiError } from "../errors.js";

/** Sends an error as a complete response, unless the response has already ended. */
export const sendError = (res: ServerResponse, error: ApiError): void => {
  if (res.destroyed || res.writableEnded) return;
  const { type, message, ran, retryAfterS } = error;
  const retry =
    retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  res.writeHead(statusOf(error), {
    "content-type": "application/json",
    ...retry,
  });
  res.end(JSON.stringify({ error: { type, message, ran } }));
};
