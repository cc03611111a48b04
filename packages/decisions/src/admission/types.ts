/** Types of admission. */

import type { Moment } from "@cardamomglade/common";
import type { Priority } from "@cardamomglade/schema";

/** A request that asks to start or waits for it. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly priority: Priority;
  readonly weight: number;
  /** Tokens that it may order. */
  readonly tokens: number;
  /** Size of what is kept while it waits. */
  readonly chars: number;
  readonly deadline: Moment;
}

/** A request that waits. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly arrivedAt: Moment;
  readonly giveUpAt: Moment;
}

/** Requests of one customer for one deployment, in order of arrival. */
export interface WaitingLine {
  readonly customer: string;
  readonly deployment: string;
  readonly requests: WaitingRequest[];
}

/** A request under way. */
export interface AdmittedRequest {
  readonly customer: string;
  readonly tokens: number;
}

/** Who waits and who runs; owned by the fold and changed in place. */
export interface AdmissionState {
  readonly lines: Map<string, WaitingLine>;
  /** Work that each customer was given, in weighted tokens. */
  readonly served: Map<string, number>;
  readonly running: Map<string, AdmittedRequest>;
  /** Least weighted work among customers that wait. */
  virtualTime: number;
  waiting: number;
  waitingChars: number;
}

/** What limits one customer or deployment just now. */
export interface Capacity {
  /** Whether the customer is below its limits. */
  isAllowed(customer: string): boolean;
  /** Whether a back end of the deployment has a slot free. */
  hasRoom(deployment: string): boolean;
  /** Requests that the deployment finishes in a second for this router. */
  startsPerSecond(deployment: string): number;
}

/** Why a request is refused. */
export enum Refusal {
  /** The customer's own limit. */
  Limit = "limit",
  /** No slot in time. */
  Capacity = "capacity",
  /** The line is full. */
  QueueFull = "queueFull",
}

/** What becomes of a request. */
export type Admission =
  | { readonly type: "start" }
  | { readonly type: "wait" }
  | {
      readonly type: "refuse";
      readonly refusal: Refusal;
      readonly retryAfterS: number;
    };

/** A waiting request that was refused. */
export interface RefusedRequest {
  readonly requestId: string;
  readonly refusal: Refusal;
  readonly retryAfterS: number;
}
