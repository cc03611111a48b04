/** Limits shared by all routers, and budgets of retries. */

export { limitPeriodMs } from "./constants.js";
export {
  allowanceOf,
  createLimits,
  demandOf,
  fillBalance,
  forgetDemand,
  hearDemand,
  tendLimits,
  useOf,
} from "./limits.js";
export {
  createRetryBudgets,
  earnRetry,
  refillRetries,
  takeRetry,
  type BudgetedAttempt,
  type RetryBudgets,
} from "./retryBudget.js";
export type { Allowance, CustomerUse, LimitsState } from "./types.js";
