/** Types of admission control. */

import type { Timestamp } from "@cardamomglade/common";
import type { Priority } from "@cardamomglade/schema";

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly priority: Priority;
  readonly weight: number;
  /** Maximum number of tokens that it may use. */
  readonly tokens: number;
  /** Size of its content that is kept in memory while it is queued. */
  readonly sizeChars: number;
  readonly deadline: Timestamp;
}

/** A queued request. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly arrivedAt: Timestamp;
  readonly queueDeadline: Timestamp;
}

/** Queue of the requests of one customer for one deployment, in order of arrival. */
export interface RequestQueue {
  readonly customer: string;
  readonly deployment: string;
  readonly requests: QueuedRequest[];
}

/** A running request. */
export interface AdmittedRequest {
  readonly customer: string;
  readonly tokens: number;
}

/** Queued and running requests; owned by the reducer and mutated in place. */
export interface AdmissionState {
  readonly queues: Map<string, RequestQueue>;
  /** Tokens divided by weight that each customer was served (its virtual time in fair queueing). */
  readonly weightedTokens: Map<string, number>;
  readonly running: Map<string, AdmittedRequest>;
  /** Virtual time of the most recently started request; lower bound for all customers, so that an idle one earns no credit. */
  virtualTime: number;
  waiting: number;
  queuedChars: number;
}

/** Current limits of customers and capacity of deployments. */
export interface Capacity {
  /** Whether the customer is below its limits. */
  isWithinLimits(customer: string): boolean;
  /** Whether a back end of the deployment has a free slot. */
  hasFreeSlot(deployment: string): boolean;
  /** Rate at which requests of this router finish at the deployment, which is the rate at which new ones can start. */
  startsPerSecond(deployment: string): number;
}

/** Why a request is refused. */
export enum Refusal {
  /** The customer has reached its limit. */
  Limit = "limit",
  /** No slot is expected to become free in time. */
  Capacity = "capacity",
  /** The queue is full. */
  QueueFull = "queueFull",
}

/** Admission decision for a request. */
export type AdmissionDecision =
  | { readonly type: "start" }
  | { readonly type: "wait" }
  | {
      readonly type: "refuse";
      readonly refusal: Refusal;
      readonly retryAfterS: number;
    };

/** A queued request that was refused. */
export interface RefusedRequest {
  readonly requestId: string;
  readonly refusal: Refusal;
  readonly retryAfterS: number;
}
