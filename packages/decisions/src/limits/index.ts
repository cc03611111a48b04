/** Customer limits shared by all routers, and retry budgets. */

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
export type { Allowance, CustomerUsage, LimitsState } from "./types.js";
