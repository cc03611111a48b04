/** Time for which a stopping process accepts new connections. */

import type { Timestamp } from "@cardamomglade/common";

// Readiness is checked each second, and 2 failures take a process out of service;
// requests that arrive until then are still served.
const maxNoticeMs = 2500;
const maxNoticeRatio = 0.5; // of a short grace, so that what arrives in it can end

/** Returns the end of that time for a stop that begins now. */
export const noticeEndOf = (at: Timestamp, endsAt: Timestamp): Timestamp =>
  at + Math.min(maxNoticeMs, maxNoticeRatio * (endsAt - at));
