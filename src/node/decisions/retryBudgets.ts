import { RetryBudget } from './retryBudget.ts';

/** Maximum number of budgets; tables hold at most 10,000 routes. */
const MAX_BUDGETS = 10_000;

/** Retry budgets by route name. A route whose fraction changes gets a new budget. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  budgetFor(routeName: string, fraction: number): RetryBudget {
    const known = this.#budgets.get(routeName);
    if (known?.fraction === fraction) return known;
    const [oldest] = this.#budgets.keys();
    if (this.#budgets.size >= MAX_BUDGETS && oldest !== undefined) this.#budgets.delete(oldest);
    const budget = new RetryBudget({ fraction });
    this.#budgets.set(routeName, budget);
    return budget;
  }
}
