/** Refused callers that are remembered; the oldest is forgotten at the bound. */
const MAX_REFUSED = 1024;

/** How early a caller may return to be taken for the refused one, as a fraction of its time to wait. */
const EARLIEST_SHARE = 0.5;

/** How late a caller may return to be taken for the refused one, in ms: callers have budgets of 1,500 to 3,000 ms. */
const LATEST_MS = 1500;

interface RefusedCaller {
  readonly key: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

const keyOf = (account: string, route: string) => `${account}\n${route}`;

/**
 * Remembers refused callers. A caller uses a new request id for each attempt, so that it is recognised only by its
 * account, its route and the time of its return; each refusal lets one request pass as a returning one.
 */
export class ReturningCallers {
  readonly #refused = new Set<RefusedCaller>();

  /** @param retryAfterMs - after which time the caller was told to return */
  recordRefusal(account: string, route: string, retryAfterMs: number, nowMs: number): void {
    this.#refused.add({
      key: keyOf(account, route),
      fromMs: nowMs + retryAfterMs * EARLIEST_SHARE,
      untilMs: nowMs + retryAfterMs + LATEST_MS,
    });
    const [oldest] = this.#refused;
    if (this.#refused.size > MAX_REFUSED && oldest !== undefined) this.#refused.delete(oldest);
  }

  /** Whether a new request is probably that of a refused caller, which is then forgotten. */
  takeReturn(account: string, route: string, nowMs: number): boolean {
    const key = keyOf(account, route);
    for (const refused of this.#refused) {
      if (refused.untilMs < nowMs) this.#refused.delete(refused);
      else if (refused.key === key && refused.fromMs <= nowMs) {
        this.#refused.delete(refused);
        return true;
      }
    }
    return false;
  }
}
