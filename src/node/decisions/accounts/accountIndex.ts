import { hash } from 'node:crypto';
import type { ForwardingAccount } from '../../gateway/forwardedRequest.ts';
import type { Account } from '../../gateway/gatewayTables.ts';

/** Maximum number of keys of one version of the tables; about twice as many as fit into one object of the platform. */
export const MAX_ACCOUNT_KEYS = 100_000;

/** Problems that are reported of one version; a version with more of them has a common cause. */
const MAX_REPORTED_PROBLEMS = 20;

/** Length of a fingerprint, in hexadecimal digits. */
const FINGERPRINT_LENGTH = 8;

/** Characters that a header of an HTTP request must not contain. */
// eslint-disable-next-line no-control-regex
const UNUSABLE_IN_HEADERS = /[\u0000-\u001f\u007f]/;

/** A key or account of the tables that is ignored. */
export interface AccountProblem {
  readonly kind: 'duplicate-key' | 'empty-key' | 'unusable-name';
  readonly account: string;
  /** The account that holds the key. @default none */
  readonly holder?: string;
  /** Fingerprint of the key. @default none */
  readonly key?: string;
}

/** A key that an account had in the version before. */
export interface RemovedKey {
  /** Fingerprint of the key. */
  readonly key: string;
  readonly account: string;
  /** The account that holds the key now. @default none */
  readonly holder?: string;
}

/** The keys of an account in one version of the tables, with their digests in the same order. */
interface HashedKeys {
  readonly keys: readonly string[];
  readonly digests: readonly string[];
}

/** SHA-256 digest with one character per byte, the shortest form that is a key of a `Map`. */
const digestOf = (key: string | Uint8Array): string => hash('sha256', key, 'binary');

/** The part of a key's digest by which logs name the key. */
export const fingerprintOf = (key: string | Uint8Array): string =>
  hash('sha256', key, 'hex').slice(0, FINGERPRINT_LENGTH);

const sameKeys = (keys: readonly string[], others: readonly string[]): boolean =>
  keys.length === others.length && keys.every((key, position) => key === others[position]);

/** Number of keys in the tables, also of those that are held by several accounts. */
export const countKeys = (accounts: readonly Account[]): number =>
  accounts.reduce((sum, { keys }) => sum + keys.length, 0);

/**
 * The accounts of one version of the tables by the digests of their keys. Digests are compared instead of keys, so that
 * the time of a look-up reveals nothing about a key.
 */
export class AccountIndex {
  readonly #byDigest = new Map<string, ForwardingAccount>();

  readonly #byName = new Map<string, ForwardingAccount>();

  /** Digests by account name, which the index of the next version reuses. */
  readonly #hashed = new Map<string, HashedKeys>();

  readonly #keyCounts = new Map<string, number>();

  readonly #problems: AccountProblem[] = [];

  #problemCount = 0;

  #hashedNow = 0;

  /** @param previous - index of an earlier version, whose digests are reused for accounts with the same keys */
  constructor(accounts: readonly Account[], previous?: AccountIndex) {
    for (const account of accounts) this.#add(account, previous);
  }

  /** Number of distinct keys in force. */
  get keyCount(): number {
    return this.#byDigest.size;
  }

  /** Number of digests that were computed for this version and not reused. */
  get hashedKeys(): number {
    return this.#hashedNow;
  }

  /** The first problems of the accounts, and how many there are. */
  get problems(): { readonly count: number; readonly first: readonly AccountProblem[] } {
    return { count: this.#problemCount, first: this.#problems };
  }

  /** Accounts by name, in the order of the tables. */
  get accounts(): ReadonlyMap<string, ForwardingAccount> {
    return this.#byName;
  }

  /**
   * The account that holds a key.
   *
   * @param key - the bytes of the key as received; keys of the tables are compared in UTF-8
   */
  find(key: Uint8Array): ForwardingAccount | undefined {
    return this.#byDigest.get(digestOf(key));
  }

  /** Number of keys by which an account proves itself. */
  keysOf(name: string): number {
    return this.#keyCounts.get(name) ?? 0;
  }

  /** Keys that accounts had in an earlier version and have no longer: the first ones, and how many there are. */
  removedSince(previous: AccountIndex): { readonly count: number; readonly first: RemovedKey[] } {
    const first: RemovedKey[] = [];
    let count = 0;
    for (const [account, { digests }] of previous.#hashed) {
      if (this.#hashed.get(account)?.digests === digests) continue;
      for (const digest of new Set(digests)) {
        const holder = this.#byDigest.get(digest)?.name;
        if (holder === account || previous.#byDigest.get(digest)?.name !== account) continue;
        count += 1;
        const key = Buffer.from(digest, 'latin1').toString('hex').slice(0, FINGERPRINT_LENGTH);
        if (first.length < MAX_REPORTED_PROBLEMS) first.push({ key, account, holder });
      }
    }
    return { count, first };
  }

  #add({ name, keys, priority }: Account, previous: AccountIndex | undefined): void {
    if (name === '' || UNUSABLE_IN_HEADERS.test(name)) {
      this.#report({ kind: 'unusable-name', account: JSON.stringify(name) });
      return;
    }
    const account = { name, priority };
    if (!this.#byName.has(name)) this.#byName.set(name, account);
    const known = previous === undefined ? undefined : previous.#hashed.get(name);
    const digests =
      known !== undefined && sameKeys(keys, known.keys) ? known.digests : this.#hash(keys);
    this.#hashed.set(name, { keys, digests });
    keys.forEach((key, position) => this.#addKey(account, key, digests[position] ?? ''));
  }

  #addKey(account: ForwardingAccount, key: string, digest: string): void {
    const { name } = account;
    if (key === '') {
      this.#report({ kind: 'empty-key', account: name });
      return;
    }
    const holder = this.#byDigest.get(digest);
    if (holder === undefined) {
      this.#byDigest.set(digest, account);
      this.#keyCounts.set(name, this.keysOf(name) + 1);
    } else if (holder.name !== name) {
      this.#report({
        ...{ kind: 'duplicate-key', account: name, holder: holder.name },
        key: fingerprintOf(key),
      });
    }
  }

  #hash(keys: readonly string[]): string[] {
    this.#hashedNow += keys.length;
    return keys.map(digestOf);
  }

  #report(problem: AccountProblem): void {
    this.#problemCount += 1;
    if (this.#problems.length < MAX_REPORTED_PROBLEMS) this.#problems.push(problem);
  }
}
