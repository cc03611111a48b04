/** Types of merged timelines. */

import type { TimelineEvent } from "@cardamomglade/schema";

/** Result of querying one router. */
export type TimelineResponse =
  | {
      readonly type: "read";
      readonly url: string;
      readonly process: string;
      /** Routers that this router is connected to. */
      readonly peers: readonly string[];
      /** Timestamp of the newest event that the router has dropped. */
      readonly droppedUpTo?: string;
      readonly events: readonly TimelineEvent[];
    }
  | {
      readonly type: "unreachable";
      readonly url: string;
      readonly message: string;
    };

/** Events of all processes in causal order, and the gaps. */
export interface MergedTimeline {
  readonly processes: readonly string[];
  readonly events: readonly TimelineEvent[];
  readonly gaps: readonly TimelineGap[];
}

/** Why events are missing from a merged timeline. */
export type TimelineGap =
  | {
      readonly type: "unreachable";
      readonly url: string;
      readonly message: string;
    }
  | { readonly type: "notQueried"; readonly process: string }
  | {
      readonly type: "dropped";
      readonly process: string;
      readonly upTo: string;
    };
