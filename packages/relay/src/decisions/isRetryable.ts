/** What may be sent again after it may have run. */

import { RequestKind, type Route } from "../types.js";

/** Whether requests of a route may run more than once. */
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
