/** Shapes of a soak: what is played, and what callers and replicas saw. */

/** Kinds of requests that callers send. */
export enum RequestType {
  /** A stream that may go on elsewhere. */
  Stream = "stream",
  /** Runs at most once. */
  Booking = "booking",
  /** May run again. */
  Check = "check",
}

/** What is done to the system from outside. */
export type SoakAction =
  | {
      readonly type: "routerKill" | "routerStop" | "routerPause";
      readonly router: number;
    }
  | { readonly type: "routerReload"; readonly router: number }
  | { readonly type: "storeCut"; readonly router: number }
  | {
      readonly type:
        "replicaCrash" | "replicaDrain" | "answersLost" | "answersGarbled";
      readonly replica: number;
    }
  | {
      readonly type: "linkSlow" | "linkReset" | "linkSilent" | "linkOneWay";
      readonly replica: number;
    }
  | { readonly type: "storeBusy" | "storeSilent" | "storeCompact" }
  | { readonly type: "configChange" };

/** One planned fault; times are milliseconds after the load's start. */
export interface PlannedSoakFault {
  readonly startMs: number;
  readonly lastsMs: number;
  readonly action: SoakAction;
}

/** A schedule of faults with a calm end. */
export interface SoakPlan {
  readonly routers: number;
  readonly engines: number;
  readonly faults: readonly PlannedSoakFault[];
  /** No fault begins after it. */
  readonly faultsEndMs: number;
}

/** A request that reached a replica. */
export interface Arrival {
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly at: number;
  /** Whether the replica began to run it. */
  readonly hasRun: boolean;
  /** Whether it goes on at a copy of its run, which makes it the same run. */
  readonly isContinued: boolean;
}

/** What a caller got. */
export type Outcome =
  | { readonly type: "whole" }
  | { readonly type: "answered"; readonly status: number }
  /** The connection ended early, or could not be made. */
  | { readonly type: "cut"; readonly hasConnected: boolean }
  /** No end came in the caller's time. */
  | { readonly type: "silent" }
  /** The caller left by itself. */
  | { readonly type: "left" };

/** One caller request and its end. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly requestType: RequestType;
  readonly router: number;
  /** Life of the router's process that the request was sent to. */
  readonly life: number;
  /** Configuration of which its key is; 0 for the key that always holds. */
  readonly keyVersion: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
  /** What was wrong with the bytes of the answer, if anything. */
  readonly faults: readonly string[];
}

/** A configuration that the store accepted. */
export interface AcceptedVersion {
  readonly version: number;
  readonly at: number;
  /** Service of bookings and checks in it. */
  readonly service: string;
}

/** What a fault touched, and when. */
export interface FaultSpan {
  readonly type: SoakAction["type"];
  readonly router: number | undefined;
  readonly from: number;
  readonly to: number;
}

/** A router's process that ended by itself. */
export interface OwnEnd {
  readonly router: number;
  readonly at: number;
  readonly code: number | null;
}

/** A replica that the store accepted as leaving. */
export interface Leaving {
  readonly replica: string;
  readonly at: number;
}

/** All that was seen in a soak. */
export interface SoakRecord {
  readonly arrivals: readonly Arrival[];
  readonly answers: readonly CallerAnswer[];
  readonly versions: readonly AcceptedVersion[];
  readonly leaving: readonly Leaving[];
  readonly faults: readonly FaultSpan[];
  readonly ownEnds: readonly OwnEnd[];
  /** Moment after which all faults are over and recovered from. */
  readonly calmFrom: number;
}

/** A broken promise. */
export interface SoakViolation {
  readonly promise:
    | "once"
    | "ownAnswer"
    | "notRun"
    | "route"
    | "configuration"
    | "leaving"
    | "plannedStop"
    | "repeats"
    | "recovery"
    | "staysUp";
  readonly requestId: string;
  readonly message: string;
}
