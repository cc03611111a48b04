/** Types of runs that their requests left. */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../../types.js";

/** A run that its request left, and that is not known to have ended. */
export interface EarlierRun {
  /** Key of its exchange. */
  readonly key: string;
  readonly requestId: string;
  /** Number of its attempt. */
  readonly attempt: number;
  readonly replica: Replica;
  /** Engine to which its KV cache is copied when it stops; undefined if none is chosen. */
  readonly holder: Replica | undefined;
  /** Ids of engines that had no room for it. */
  readonly rejectedHolders: Set<string>;
  /** Time of its first event, from which reports of its replica list it; undefined before that. */
  readonly begunAt: Timestamp | undefined;
  /** Time of the last sign of it. */
  readonly heardAt: Timestamp;
  /** Whether its replica can be asked to stop it. */
  readonly isStoppable: boolean;
  readonly leftAt: Timestamp;
  /** It is no longer followed from then on. */
  readonly forgetAt: Timestamp;
  /** Time at which its replica was asked to stop it; undefined while no such question is open. */
  askedAt: Timestamp | undefined;
  /** It is asked again from then on. */
  nextAskAt: Timestamp;
  /** Time at which its replica last said that it is at work; undefined before that. */
  atWorkAt: Timestamp | undefined;
  /** Whether the last question found no host that takes connections. */
  isUnreachable: boolean;
  /** Time at which its replica's address refused a connection: it has ended, unless the path is lost. */
  refusedAt: Timestamp | undefined;
}

/** How it is known that a run has ended. */
export enum RunEndEvidence {
  /** Its replica stopped it. */
  Stopped = "stopped",
  /** Its replica has no such run. */
  NotFound = "notFound",
  /** A report that the replica made later does not list it. */
  Report = "report",
  /** No process listens at the replica's address. */
  Refused = "refused",
  /** Another process has the replica's address. */
  Replaced = "replaced",
}

/** What became of the question to stop a run. */
export type StopOutcome =
  | {
      readonly type: "stopped";
      /** Names the KV cache, which the run's engine keeps; undefined if the engine did not say. */
      readonly handle: string | undefined;
      /** Whether the other engine has a copy. */
      readonly isCopied: boolean;
    }
  | { readonly type: "notFound" }
  /** No process listens at the replica's address. */
  | { readonly type: "refused" }
  /** The replica answered, and did not say that the run has stopped. */
  | { readonly type: "notStopped"; readonly status: number }
  | {
      readonly type: "unanswered";
      /** Whether the replica's host took the connection. */
      readonly isConnected: boolean;
    };

/** A request that goes on once the run that it left has ended. */
export interface RunEndWait {
  /** Number of the run's attempt. */
  readonly attempt: number;
  /** Why the run was left. */
  readonly reason: string;
  /** Whether the next run takes a retry of the budget. */
  readonly isRepeat: boolean;
  /** It goes on then, whatever is known of the run. */
  readonly until: Timestamp;
  /** The run's replica is asked for a report then. */
  readonly reportAt: Timestamp;
}
