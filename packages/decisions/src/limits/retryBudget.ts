/** Budgets of retries: a tenth of first attempts, per customer and per back end. */

const share = 0.1;
const mostCredit = 10;
const deepestDebt = -20;
const leastPerSecond = 0.2;

/** Credit by customer and by back end; owned by the fold and changed in place. */
export interface RetryBudgets {
  readonly customers: Map<string, number>;
  readonly backEnds: Map<string, number>;
}

/** One attempt to count. */
export interface BudgetedAttempt {
  readonly customer: string;
  readonly backEnd: string;
  /** Tokens that the caller already has. */
  readonly accepted: number;
}

/** Budgets with a little credit, so that the first failures are retried. */
export const createRetryBudgets = (): RetryBudgets => ({
  customers: new Map(),
  backEnds: new Map(),
});

const change = (
  credits: Map<string, number>,
  key: string,
  by: number,
): void => {
  const credit = (credits.get(key) ?? mostCredit) + by;
  credits.set(key, Math.min(mostCredit, Math.max(deepestDebt, credit)));
};

const hasCredit = (credits: Map<string, number>, key: string): boolean =>
  (credits.get(key) ?? mostCredit) >= 1;

/** A first attempt earns a part of a retry. */
export const earnRetry = (
  budgets: RetryBudgets,
  { customer, backEnd }: BudgetedAttempt,
): void => {
  change(budgets.customers, customer, share);
  change(budgets.backEnds, backEnd, share);
};

/**
 * Whether another attempt may be made; draws on the budgets if so. A stream that
 * has delivered tokens is worth more than a new one: it is never refused, but its
 * debt refuses retries of new work.
 */
export const takeRetry = (
  budgets: RetryBudgets,
  { customer, backEnd, accepted }: BudgetedAttempt,
): boolean => {
  const hasBoth =
    hasCredit(budgets.customers, customer) &&
    hasCredit(budgets.backEnds, backEnd);
  if (accepted === 0 && !hasBoth) return false;
  change(budgets.customers, customer, -1);
  change(budgets.backEnds, backEnd, -1);
  return true;
};

/** A little credit comes with time, for customers with little work. */
export const refillRetries = (budgets: RetryBudgets, sinceMs: number): void => {
  const by = (leastPerSecond * sinceMs) / 1000;
  for (const credits of [budgets.customers, budgets.backEnds])
    for (const [key, credit] of credits) {
      if (credit + by >= mostCredit) credits.delete(key);
      else credits.set(key, credit + by);
    }
};
