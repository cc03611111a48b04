/** Which requests may be sent again after they may have been executed. */

import { RequestKind, type Route } from "../types.js";

/** Whether requests of a route may be executed more than once. */
export const isRetryable = ({ kind, canResume }: Route): boolean => {
  switch (kind) {
    case RequestKind.Idempotent:
      return true;
    case RequestKind.NonIdempotent:
      return false;
    case RequestKind.Streaming:
      return canResume;
  }
};
