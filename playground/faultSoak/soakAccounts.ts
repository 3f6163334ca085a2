/** Names of the client accounts of a soak. */
export const ACCOUNT_NAMES = ['account-a', 'account-b'] as const;

export type AccountName = (typeof ACCOUNT_NAMES)[number];

/** Setting of the nodes: keyed requests are refused when nothing has confirmed the tables for this time, in ms. */
export const REVOKE_AFTER_MS = 3000;

/** Time after which no node may accept a key any more that was removed from the tables, in ms. */
const REVOKED_AFTER_MS = REVOKE_AFTER_MS + 1000;

export const randomAccount = (): AccountName => ACCOUNT_NAMES[Math.random() < 0.5 ? 0 : 1];

const keyOf = (account: AccountName, number: number): string => `key-${number}-of-${account}`;

/** The accounts of a revision, as the platform stores them. */
export const tenantsOf = (revision: number): object[] =>
  ACCOUNT_NAMES.map((name) => ({
    name,
    'api-keys': [-1, 0, 1].map((offset) => keyOf(name, revision + offset)),
  }));

/**
 * The client accounts of a soak. Each revision of the tables replaces one of the three keys of each account: nodes that
 * are one revision ahead or behind know the key that clients use.
 */
export class SoakAccounts {
  /** When each revision was confirmed, by its number, in ms. */
  readonly #confirmedMs: number[] = [];

  confirmed(revision: number): void {
    this.#confirmedMs[revision] = performance.now();
  }

  /** The key by which clients of an account prove themselves. */
  currentKey(account: AccountName): string {
    return keyOf(account, this.#confirmedMs.length - 1);
  }

  keyHeaderOf(account: AccountName) {
    return { 'x-key': this.currentKey(account) };
  }

  /** The latest key that no node may accept any more, or one that no revision contains. */
  revokedKey(account: AccountName): string {
    const nowMs = performance.now();
    const isLongAgo = (confirmedMs: number | undefined) =>
      confirmedMs !== undefined && nowMs - confirmedMs > REVOKED_AFTER_MS;
    // Revision N removes key N - 2.
    return keyOf(account, this.#confirmedMs.findLastIndex(isLongAgo) - 2);
  }
}
