/** Placement of weights on engines, and plans for it. */

export { createPlan, type PlanBody, type PlanOptions } from "./createPlan.js";
export { nextOrders } from "./nextOrders.js";
export { initialServing, nextServing } from "./nextServing.js";
export {
  simulatePlan,
  type PlanRates,
  type SimulatedPlan,
} from "./simulatePlan.js";
export type {
  BlockedOrder,
  EngineObservation,
  EngineOrder,
  OrderChoice,
  PlacementSnapshot,
} from "./types.js";
export { createExecution, decideExecution } from "./decideExecution.js";
export type {
  ExecutionCommand,
  ExecutionContext,
  ExecutionEvent,
  ExecutionState,
  FailedOrder,
  PendingOrder,
} from "./executionTypes.js";
