/** Finds the id of a request whose head has arrived. */

import type { IncomingMessage } from "node:http";
import type { ReplicaProtocol } from "../types.js";

/** Returns the id; undefined if the caller sent none. */
export const requestIdOf = (
  { headers: names }: ReplicaProtocol,
  { headers }: IncomingMessage,
): string | undefined => {
  const id = headers[names.requestId];
  return typeof id === "string" ? id : undefined;
};
