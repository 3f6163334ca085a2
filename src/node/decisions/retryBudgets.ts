import { RetryBudget } from './retryBudget.ts';

/** Largest number of routes with a budget; tables hold at most 10,000 routes. */
const MAX_BUDGETS = 10_000;

/** The budgets of all routes, by name. A changed fraction starts a new budget. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  of(routeName: string, fraction: number): RetryBudget {
    const known = this.#budgets.get(routeName);
    if (known?.fraction === fraction) return known;
    const [oldest] = this.#budgets.keys();
    if (this.#budgets.size >= MAX_BUDGETS && oldest !== undefined) this.#budgets.delete(oldest);
    const budget = new RetryBudget({ fraction });
    this.#budgets.set(routeName, budget);
    return budget;
  }
}
