/** Checks the heads of responses. */

import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "../../decisions/types.js";
import type { ReplicaProtocol } from "../../types.js";

const minFinalStatus = 200;
const maxStatus = 599;

/** Why the head of a response is invalid for a request, or undefined if it is valid. */
export const validationErrorOf = (
  { headers: names }: ReplicaProtocol,
  requestId: string,
  res: IncomingMessage,
  head: ResponseHead,
): string | undefined => {
  if (head.status < minFinalStatus || head.status > maxStatus)
    return "the answer has no valid status";
  const echoedRequestId = res.headers[names.requestId];
  // A refusal may name no request, but one of another request says nothing of this one.
  const isNameRequired = echoedRequestId !== undefined || !head.isNotExecuted;
  if (requestId !== "" && isNameRequired && echoedRequestId !== requestId)
    return "the answer names another request";
  if (head.isNotExecuted) return undefined;
  if (res.headers["content-encoding"] !== undefined)
    return "the answer is encoded";
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess && head.seal === undefined) return "the answer is not sealed";
  return undefined;
};
