/** Types of a fault schedule. */

/** A fault and the process that it targets. */
export type FaultAction =
  | { readonly type: "engineKill"; readonly engine: number }
  | { readonly type: "engineFreeze"; readonly engine: number }
  | { readonly type: "engineSlow"; readonly engine: number }
  | { readonly type: "engineStall"; readonly engine: number }
  | { readonly type: "engineDropAnswers"; readonly engine: number }
  | { readonly type: "engineDropConnections"; readonly engine: number }
  | { readonly type: "serviceDropAnswers"; readonly service: number }
  | { readonly type: "keyValueOutage" }
  | { readonly type: "keyValueDropAnswers" }
  | { readonly type: "keyValueSlow" }
  | { readonly type: "routerKill"; readonly router: number }
  | { readonly type: "routerPause"; readonly router: number };

/** One fault in the schedule. */
export interface PlannedFault {
  /** Milliseconds after the run's start. */
  readonly startMs: number;
  readonly durationMs: number;
  readonly action: FaultAction;
}
