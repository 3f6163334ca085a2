import { Counter, Gauge, type Registry } from 'prom-client';

/** Number of accounts that metrics name. The others are counted together. */
const MAX_NAMED_ACCOUNTS = 20;

/** Label of the accounts that metrics do not name. */
const OTHERS = 'others';

interface Counts {
  requests: number;
  refused: number;
}

/** Reasons for which requests were refused before their body was read. */
export type RefusalReason = 'denied' | 'stale';

/** Counts the requests of client accounts since the start of the node. Bounded by the accounts in force. */
export class AccountCounts {
  readonly #counts = new Map<string, Counts>();

  readonly #refusals: Counter<'reason'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#refusals = new Counter({
      name: 'hyssoppulley_key_refusals_total',
      help: 'Requests refused because of their key, by reason (denied: unknown or missing, stale: tables not confirmed)',
      labelNames: ['reason'],
      registers,
    });
    const largest = () => this.largest();
    // A gauge, because an account can move between its own label and the common one.
    const gauge: Gauge<'account'> = new Gauge({
      name: 'hyssoppulley_account_requests',
      help: 'Requests since the start of the node by client account: the 20 largest, and all others together',
      labelNames: ['account'],
      registers,
      collect() {
        gauge.reset();
        for (const [account, requests] of largest()) gauge.set({ account }, requests);
      },
    });
  }

  recordRequest(account: string): void {
    this.#of(account).requests += 1;
  }

  /** @param account - the account that holds the key, if it is known */
  recordRefusal(reason: RefusalReason, account: string | undefined): void {
    this.#refusals.inc({ reason });
    if (account !== undefined) this.#of(account).refused += 1;
  }

  /** Counts of an account since the start of the node. */
  of(account: string): Readonly<Counts> {
    return this.#counts.get(account) ?? { requests: 0, refused: 0 };
  }

  /** Forgets accounts that are no longer in force. */
  retain(isInForce: (account: string) => boolean): void {
    for (const account of this.#counts.keys()) {
      if (!isInForce(account)) this.#counts.delete(account);
    }
  }

  /** Numbers of requests of the largest accounts, and of all others together. */
  largest(): [account: string, requests: number][] {
    const sorted = [...this.#counts]
      .map(([account, { requests }]): [string, number] => [account, requests])
      .sort(([, requests], [, other]) => other - requests);
    const others = sorted.slice(MAX_NAMED_ACCOUNTS);
    const named = sorted.slice(0, MAX_NAMED_ACCOUNTS);
    if (others.length === 0) return named;
    return [...named, [OTHERS, others.reduce((sum, [, requests]) => sum + requests, 0)]];
  }

  #of(account: string): Counts {
    const counts = this.#counts.get(account) ?? { requests: 0, refused: 0 };
    this.#counts.set(account, counts);
    return counts;
  }
}
