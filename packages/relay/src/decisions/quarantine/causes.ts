/** What of a request may be the cause of a replica's end: blocks of its prompt, or the request as a whole. */

import type { CallerRequest } from "../../types.js";

const requestPrefix = "request:"; // the id of a prompt block has no colon

/** Names a request as a whole, the same in all of its repeats. */
export const requestCauseOf = ({
  fingerprint,
}: Pick<CallerRequest, "fingerprint">): string =>
  `${requestPrefix}${fingerprint}`;

/** Whether an id names a request as a whole. */
export const isRequestCause = (id: string): boolean =>
  id.startsWith(requestPrefix);

/** All that may be the cause when a replica ends under a request. */
export const causesOf = (request: CallerRequest): readonly string[] => [
  requestCauseOf(request),
  ...request.sharedPromptBlockIds,
];

/** Causes as a log line shows them. */
export const describeCauses = (
  ids: readonly string[],
): {
  readonly promptBlocks: readonly string[] | undefined;
  readonly fingerprints: readonly string[] | undefined;
} => {
  const blockIds = ids.filter((id) => !isRequestCause(id));
  const fingerprints = ids
    .filter(isRequestCause)
    .map((id) => id.slice(requestPrefix.length));
  return {
    promptBlocks: blockIds.length > 0 ? blockIds : undefined,
    fingerprints: fingerprints.length > 0 ? fingerprints : undefined,
  };
};
