/** Types of a soak test: its schedule, and what callers and replicas recorded. */

import type { ProcessEnd } from "@cardamomglade/users-platform/testing/bundledRelay";
import type { ProcessUsage } from "./processUsage.js";

/** Types of requests that callers send. */
export enum RequestType {
  /** A stream that may be resumed on another replica. */
  Stream = "stream",
  /** Non-idempotent: must run at most once. */
  Booking = "booking",
  /** Idempotent: may run again. */
  Check = "check",
  /** Idempotent, with a large body, to a service of its own. */
  Large = "large",
}

/** How a settings file is damaged until it is restored. */
export enum SettingsDamage {
  Empty = "empty",
  HalfWritten = "halfWritten",
  Removed = "removed",
}

/** How callers send large bodies. */
export enum BodyPace {
  Whole = "whole",
  /** All but the last bytes, and then nothing. */
  Stalled = "stalled",
  Slow = "slow",
}

/** A fault of a router's process, of its files, or of callers that take its memory. */
export type ProcessAction =
  | {
      readonly type:
        /** A planned stop with more SIGTERMs within the drain. */
        | "routerStopAgain"
        /** A planned stop while callers send streams whose bodies come late, in chunks. */
        | "routerStopBesideBodies"
        /** A planned stop; the next process starts beside the one that drains. */
        | "routerStartBeside"
        | "routerHangUps"
        | "routerUserSignals"
        /** The code cache is damaged before a planned restart. */
        | "cacheDamaged"
        /** Callers leave large answers unread. */
        | "unreadAnswers";
      readonly router: number;
    }
  | {
      /** The settings are damaged while the process runs, or at a planned restart. */
      readonly type: "settingsDamaged" | "settingsDamagedAtStart";
      readonly router: number;
      readonly damage: SettingsDamage;
    }
  | {
      readonly type: "largeBodies";
      readonly router: number;
      readonly pace: BodyPace;
    };

/** A fault or operator action, and its target. */
export type SoakAction =
  | ProcessAction
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
  /** All open connections to a replica fall silent for good; new ones work. */
  | { readonly type: "openConnectionsSilent"; readonly replica: number }
  /** A sound replica, or one stream of it, falls silent for about a second and goes on. */
  | {
      readonly type: "replicaSilent" | "streamSilent";
      readonly replica: number;
    }
  | {
      readonly type:
        "storeBusy" | "storeSilent" | "storeCompact" | "storeRestore";
    }
  | { readonly type: "configChange" };

/** One planned fault; `startMs` counts from the start of the fault schedule. */
export interface PlannedSoakFault {
  readonly startMs: number;
  readonly durationMs: number;
  readonly action: SoakAction;
}

/** A part of the fault schedule; counts from its start. */
export interface PlannedPeriod {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The fleet size and the fault schedule of a soak test. */
export interface SoakPlan {
  readonly routers: number;
  readonly engines: number;
  /** Memory limit of each router's machine. */
  readonly memoryMb: number;
  /** Indices of the engines that work on when the connection of a run closes. */
  readonly runKeepers: readonly number[];
  readonly faults: readonly PlannedSoakFault[];
  /** When callers send long streams, which would prolong each drain of a router. */
  readonly longStreams: readonly PlannedPeriod[];
  /** No fault starts after this time. */
  readonly faultsEndMs: number;
}

/** A request that reached a replica. */
export interface Arrival {
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly at: number;
  /** Whether the replica started to run it. */
  readonly hasRun: boolean;
  /** Whether it resumed from a KV cache copy of its run, so that it counts as the same run. */
  readonly isContinued: boolean;
}

/** How a run of a stream ended. */
export enum RunEnd {
  Whole = "whole",
  /** Its connection closed. */
  Closed = "closed",
  /** A router stopped it. */
  Stopped = "stopped",
  /** The replica broke it off. */
  BrokenOff = "brokenOff",
  Crashed = "crashed",
}

/** A run of a stream at a replica; changes while the run is at work. */
export interface RecordedRun {
  readonly requestId: string;
  readonly replica: string;
  /** Index of the replica's endpoint, which is also that of the link to it. */
  readonly endpoint: number;
  readonly startedAt: number;
  /** When it made its last event, or else its start. */
  workedUntil: number;
  /** Undefined while it is at work. */
  end: RunEnd | undefined;
  endedAt: number | undefined;
}

/** How a request ended for its caller. */
export type Outcome =
  | { readonly type: "whole" }
  | { readonly type: "answered"; readonly status: number }
  /** The connection failed, or closed before the end of the response. */
  | { readonly type: "cut"; readonly hasConnected: boolean }
  /** The request did not end within the caller's timeout. */
  | { readonly type: "silent" }
  /** The caller closed the connection. */
  | { readonly type: "left" };

/** A request and its result, as the caller saw them. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly requestType: RequestType;
  readonly router: number;
  /** Incarnation of the router process that the request was sent to. */
  readonly life: number;
  /** Configuration version whose key the request used; 0 for the key that is valid in all versions. */
  readonly keyVersion: number;
  readonly sentAt: number;
  /** Time of the last byte of its body; Infinity if that was not sent. */
  readonly bodySentAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
  /** Errors found in the bytes of the response. */
  readonly faults: readonly string[];
}

/** A configuration version that the store accepted. */
export interface AcceptedVersion {
  readonly version: number;
  readonly at: number;
  /** Service that this version routes bookings and checks to. */
  readonly service: string;
}

/** When a fault was active, and which router or replica it targeted. */
export interface FaultSpan {
  readonly type: SoakAction["type"];
  readonly router: number | undefined;
  /** Index of the replica's endpoint. */
  readonly replica: number | undefined;
  readonly from: number;
  readonly to: number;
}

/** A router process that exited unexpectedly, or with an error when it was stopped. */
export interface UnexpectedExit extends ProcessEnd {
  readonly router: number;
  readonly life: number;
  readonly at: number;
  /** Its last lines of standard output and standard error. */
  readonly lastOutput: readonly string[];
}

/** What one process of a router used at most. */
export interface RouterUsage extends ProcessUsage {
  readonly router: number;
  readonly life: number;
  readonly at: number;
}

/** A replica that the store lists as draining. */
export interface LeavingReplica {
  readonly replica: string;
  readonly at: number;
}

/** A time at which the soak's own process, with its callers and replicas, stood still. */
export interface OwnStall {
  /** When it went on. */
  readonly at: number;
  readonly lateMs: number;
}

/** Everything that was recorded in a soak test. */
export interface SoakRecord {
  readonly arrivals: readonly Arrival[];
  readonly runs: readonly RecordedRun[];
  readonly answers: readonly CallerAnswer[];
  readonly versions: readonly AcceptedVersion[];
  readonly leaving: readonly LeavingReplica[];
  readonly faults: readonly FaultSpan[];
  readonly ownEnds: readonly UnexpectedExit[];
  readonly usages: readonly RouterUsage[];
  /** Memory limit of each process. */
  readonly memoryMb: number;
  /** Excuses nothing. */
  readonly ownStalls: readonly OwnStall[];
  /** Time from which all faults have ended and the fleet must have recovered. */
  readonly calmFrom: number;
}

/** A violated guarantee. */
export interface SoakViolation {
  readonly promise:
    | "once"
    | "twice"
    | "ownAnswer"
    | "notLost"
    | "notRun"
    | "route"
    | "configuration"
    | "leaving"
    | "plannedStop"
    | "repeats"
    | "recovery"
    | "staysUp"
    | "memory"
    | "descriptors";
  readonly requestId: string;
  readonly message: string;
}
