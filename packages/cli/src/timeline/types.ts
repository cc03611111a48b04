/** Types of merged time lines. */

import type { TimelineEvent } from "@cardamomglade/schema";

/** What one router answered. */
export type TimelineReading =
  | {
      readonly type: "read";
      readonly url: string;
      readonly process: string;
      /** Routers that this one has links to. */
      readonly peers: readonly string[];
      /** Clock reading of the newest event that it no longer keeps. */
      readonly droppedUpTo?: string;
      readonly events: readonly TimelineEvent[];
    }
  | {
      readonly type: "unreachable";
      readonly url: string;
      readonly message: string;
    };

/** The events of all processes in causal order, and what is not among them. */
export interface MergedTimeline {
  readonly processes: readonly string[];
  readonly events: readonly TimelineEvent[];
  readonly gaps: readonly TimelineGap[];
}

/** Events that the merged time line lacks. */
export type TimelineGap =
  | {
      readonly type: "unreachable";
      readonly url: string;
      readonly message: string;
    }
  | { readonly type: "notAsked"; readonly process: string }
  | {
      readonly type: "dropped";
      readonly process: string;
      readonly upTo: string;
    };
