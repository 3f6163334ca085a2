import type { IncomingHttpHeaders } from 'node:http';

/** Number of runs of each request, over all workers, and whether each ran for its account. */
export class RunCounts {
  /** Runs for another account than expected, or with a key. */
  readonly violations: string[] = [];

  readonly #accounts = new Map<string, string>();

  readonly #runs = new Map<string, number>();

  /** Number of requests that ran for each account, without items of batches. */
  readonly #requests = new Map<string, number>();

  get(requestId: string): number {
    return this.#runs.get(requestId) ?? 0;
  }

  /** @param account - name that workers must get with the request; empty: none */
  expectAccount(requestId: string, account: string): void {
    this.#accounts.set(requestId, account);
  }

  /** Number of requests that ran for an account, without items of batches. */
  requestsOf(account: string): number {
    return this.#requests.get(account) ?? 0;
  }

  increment(requestId: string, headers: IncomingHttpHeaders, { isItem = false } = {}): void {
    const account = String(headers['x-tenant'] ?? '');
    if (!isItem && this.get(requestId) === 0) {
      this.#requests.set(account, this.requestsOf(account) + 1);
    }
    this.#runs.set(requestId, this.get(requestId) + 1);
    const expected = this.#accounts.get(requestId);
    if (account !== expected || headers['x-key'] !== undefined) {
      this.violations.push(`request ${requestId} ran for "${account}" instead of "${expected}"`);
    }
  }
}
