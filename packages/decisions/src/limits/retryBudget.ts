/** Retry budgets per customer and per back end: a tenth of first attempts. */

const creditPerFirstAttempt = 0.1;
const maxCredit = 10;
const minCredit = -20;
const refillCreditPerSecond = 0.2;

/** Retry credit by customer and by back end; owned by the reducer and mutated in place. */
export interface RetryBudgets {
  readonly customers: Map<string, number>;
  readonly backEnds: Map<string, number>;
}

/** An attempt that earns or spends retry credit. */
export interface BudgetedAttempt {
  readonly customer: string;
  readonly backEnd: string;
  /** Tokens already delivered to the caller. */
  readonly acceptedTokens: number;
}

/** Creates budgets that start at the maximum credit, so that the first failures are retried. */
export const createRetryBudgets = (): RetryBudgets => ({
  customers: new Map(),
  backEnds: new Map(),
});

const addCredit = (
  credits: Map<string, number>,
  key: string,
  amount: number,
): void => {
  const credit = (credits.get(key) ?? maxCredit) + amount;
  credits.set(key, Math.min(maxCredit, Math.max(minCredit, credit)));
};

const hasCredit = (credits: Map<string, number>, key: string): boolean =>
  (credits.get(key) ?? maxCredit) >= 1;

/** Adds the credit that a first attempt earns. */
export const earnRetryCredit = (
  budgets: RetryBudgets,
  { customer, backEnd }: BudgetedAttempt,
): void => {
  addCredit(budgets.customers, customer, creditPerFirstAttempt);
  addCredit(budgets.backEnds, backEnd, creditPerFirstAttempt);
};

/**
 * Returns whether another attempt is allowed, and charges it to both budgets if so.
 * A stream that has delivered tokens takes precedence over new requests: it is always
 * allowed, and the debt it may cause refuses retries of new requests instead.
 */
export const tryTakeRetry = (
  budgets: RetryBudgets,
  { customer, backEnd, acceptedTokens }: BudgetedAttempt,
): boolean => {
  const hasBoth =
    hasCredit(budgets.customers, customer) &&
    hasCredit(budgets.backEnds, backEnd);
  if (acceptedTokens === 0 && !hasBoth) return false;
  addCredit(budgets.customers, customer, -1);
  addCredit(budgets.backEnds, backEnd, -1);
  return true;
};

/** Adds credit over time, so that customers with little traffic can retry too. */
export const refillRetryBudgets = (
  budgets: RetryBudgets,
  sinceMs: number,
): void => {
  const by = (refillCreditPerSecond * sinceMs) / 1000;
  for (const credits of [budgets.customers, budgets.backEnds])
    for (const [key, credit] of credits) {
      if (credit + by >= maxCredit) credits.delete(key);
      else credits.set(key, credit + by);
    }
};
