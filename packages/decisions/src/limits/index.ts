/** Customer limits shared by all routers, and retry budgets. */

export { limitPeriodMs } from "./constants.js";
export {
  allowanceOf,
  createLimitsState,
  ownDemandOf,
  refillTokenBalance,
  removePeerDemand,
  recordPeerDemand,
  advanceLimitPeriod,
  usageOf,
} from "./limits.js";
export {
  createRetryBudgets,
  earnRetryCredit,
  refillRetryBudgets,
  tryTakeRetry,
  type BudgetedAttempt,
  type RetryBudgets,
} from "./retryBudget.js";
export type { Allowance, CustomerUsage, LimitsState } from "./types.js";
