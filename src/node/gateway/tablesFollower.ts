import { AccountIndex, countKeys, MAX_ACCOUNT_KEYS } from '../decisions/accounts/accountIndex.ts';
import { mostUrgentPriority } from '../decisions/accounts/mostUrgentPriority.ts';
import type { Logger } from '../observability/logger.ts';
import type { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformEvent } from '../platform/platformClient.ts';
import type { ExternalObjectKind } from './adapter.ts';
import type { GatewayTables } from './gatewayTables.ts';
import type { PlatformFollowers } from './platformFollowers.ts';
import { RouteIndex } from './routeIndex.ts';

export interface TablesFollowerOptions {
  readonly logger: Logger;
  readonly kind: ExternalObjectKind<GatewayTables>;
  readonly followers: Pick<PlatformFollowers, 'follow'>;
  /** Longest wait of a call for changes, in ms, where the age of the tables matters. @default no limit */
  readonly maxWaitMs?: number;
  readonly onChange: () => void;
}

/** Follows the tables that the operator writes to the platform. Ignores revisions older than the current one. */
export class TablesFollower implements Disposable {
  readonly #options: TablesFollowerOptions;

  readonly #follower: ObjectFollower;

  #tables: GatewayTables | undefined;

  #routeIndex = new RouteIndex([]);

  #accounts: AccountIndex | undefined;

  /** Most urgent priority by pool; computed at the first use of a version. */
  #mostUrgent = new Map<string, number>();

  /** Version of the platform object that holds the tables. */
  #version = 0;

  #handledVersion = 0;

  constructor(options: TablesFollowerOptions) {
    this.#options = options;
    this.#follower = options.followers.follow({
      prefix: options.kind.prefix,
      onEvent: (event) => this.#apply(event),
      maxWaitMs: options.maxWaitMs,
      latestOnly: true,
    });
  }

  get tables(): GatewayTables | undefined {
    return this.#tables;
  }

  get routes(): RouteIndex {
    return this.#routeIndex;
  }

  /** Client accounts of the tables; undefined where requests need no key. */
  get accounts(): AccountIndex | undefined {
    return this.#accounts;
  }

  /** The most urgent priority that a request for a pool can have. */
  mostUrgentPriority(pool: string): number {
    const known = this.#mostUrgent.get(pool);
    if (known !== undefined) return known;
    const accounts = this.#accounts?.accounts.values() ?? [];
    const priority = mostUrgentPriority(this.#tables?.routes ?? [], accounts, pool);
    this.#mostUrgent.set(pool, priority);
    return priority;
  }

  /** Platform version at which the tables last changed. */
  get version(): number {
    return this.#version;
  }

  /** Platform version of the latest tables that this node has seen, also if it did not put them in force. */
  get handledVersion(): number {
    return this.#handledVersion;
  }

  /** Time in ms since the tables were last known to be current; Infinity before they were first listed. */
  get ageMs(): number {
    return this.#follower.ageMs;
  }

  /** Whether the last call for changes succeeded. */
  get connected(): boolean {
    return this.#follower.connected;
  }

  start(): Promise<void> {
    return this.#follower.start();
  }

  /** Reads the tables again, after another node reported a later version. */
  refresh(): void {
    this.#follower.refresh();
  }

  [Symbol.dispose](): void {
    this.#follower[Symbol.dispose]();
  }

  #apply({ type, object }: PlatformEvent): void {
    if (type === 'removed') return;
    const { logger, kind, onChange } = this.#options;
    const tables = kind.decode(object);
    if (tables === undefined) {
      logger.error('tables-unreadable', { key: object.key, version: object.version });
      return;
    }
    this.#handledVersion = Math.max(this.#handledVersion, object.version);
    if (this.#tables !== undefined && tables.revision < this.#tables.revision) {
      logger.warn('tables-outdated', { revision: tables.revision, held: this.#tables.revision });
      return;
    }
    const { revision, routes, pools, accounts } = tables;
    const keys = countKeys(accounts ?? []);
    if (keys > MAX_ACCOUNT_KEYS) {
      const held = this.#tables?.revision;
      logger.error('tables-rejected', { revision, keys, maxKeys: MAX_ACCOUNT_KEYS, held });
      return;
    }
    this.#tables = tables;
    this.#version = object.version;
    this.#routeIndex = new RouteIndex(routes);
    const previous = this.#accounts;
    // An empty list has no keys that could be accepted: taking the last account away must not admit everybody.
    this.#accounts = accounts === undefined ? undefined : new AccountIndex(accounts, previous);
    this.#mostUrgent = new Map();
    this.#logAccounts(revision, previous);
    logger.info('tables-in-force', {
      revision,
      routes: routes.length,
      pools: pools.size,
      accounts: this.#accounts?.accounts.size,
      keys: this.#accounts?.keyCount,
      hashedKeys: this.#accounts?.hashedKeys,
      version: object.version,
    });
    onChange();
  }

  #logAccounts(revision: number, previous: AccountIndex | undefined): void {
    const { logger } = this.#options;
    const problems = this.#accounts?.problems;
    for (const problem of problems?.first ?? []) {
      logger.warn('account-problem', { revision, problems: problems?.count, ...problem });
    }
    const removed = previous && this.#accounts?.removedSince(previous);
    for (const key of removed?.first ?? []) {
      logger.info('account-key-removed', { revision, removed: removed?.count, ...key });
    }
  }
}
