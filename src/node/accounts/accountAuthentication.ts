import { type AccountIndex, fingerprintOf } from '../decisions/accounts/accountIndex.ts';
import { mayAcceptKeys, type RevocationConditions } from '../decisions/accounts/revocation.ts';
import type { ForwardingAccount } from '../gateway/forwardedRequest.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { Logger } from '../observability/logger.ts';
import type { AccountCounts } from './accountCounts.ts';

/**
 * On whose behalf a request may run. `unrestricted`: the tables hold no accounts; `public`: they do, but the request
 * needs no key; `denied`: the key is unknown or missing; `stale`: this node cannot tell at the moment.
 */
export type Authentication =
  | { readonly kind: 'account'; readonly account: ForwardingAccount }
  | { readonly kind: 'unrestricted' | 'public' | 'denied' | 'stale' };

/** The tables in force, as far as authentication depends on them. */
export interface AuthenticationTables {
  readonly revision: number;
  /** Undefined where the tables hold no accounts. */
  readonly accounts: AccountIndex | undefined;
}

export interface AccountAuthenticationOptions {
  readonly logger: Logger;
  readonly counts: AccountCounts;
  /** Undefined until this node has tables. */
  readonly tables: () => AuthenticationTables | undefined;
  /** Time since the tables were last confirmed as current, in ms. */
  readonly confirmedAgeMs: () => number;
  readonly rules: Pick<RevocationConditions, 'strict' | 'revokeAfterMs'>;
}

/** A request whose key is checked. */
export interface KeyedRequest {
  /** Request id for the log. */
  readonly id: string;
  /** One character per byte; undefined without a key, empty when it is ambiguous. */
  readonly key: string | undefined;
  /** Whether the request is authenticated again, because tables may have changed meanwhile. @default false */
  readonly again?: boolean;
}

/** Why a request is denied. */
const reasonOf = (key: string | undefined): string => {
  if (key === undefined) return 'key-missing';
  return key === '' ? 'key-empty-or-repeated' : 'key-unknown';
};

const toBytes = (key: string): Uint8Array => Buffer.from(key, 'latin1');

/** Decides on whose behalf a request runs, by the key that it carries and the tables in force. */
export class AccountAuthentication {
  readonly #options: AccountAuthenticationOptions;

  constructor(options: AccountAuthenticationOptions) {
    this.#options = options;
  }

  /** Authenticates a request on a route. */
  authenticate(request: KeyedRequest, route: GatewayRoute): Authentication {
    const tables = this.#options.tables();
    if (tables !== undefined && tables.accounts === undefined) return { kind: 'unrestricted' };
    if (tables !== undefined && route.isPublic) return { kind: 'public' };
    return this.#authenticateKey(request, tables, route.name);
  }

  /**
   * Authenticates a request about a batch, which has no route of its own. A key counts also where the batch's path is
   * public, because it shows the batches of its account.
   *
   * @param route - the route that the path of the request leads to
   */
  authenticateBatchCall(request: KeyedRequest, route: GatewayRoute | undefined): Authentication {
    const tables = this.#options.tables();
    if (tables !== undefined && tables.accounts === undefined) return { kind: 'unrestricted' };
    if (tables !== undefined && route?.isPublic && request.key === undefined) {
      return { kind: 'public' };
    }
    return this.#authenticateKey(request, tables, route?.name);
  }

  #authenticateKey(
    { id, key, again = false }: KeyedRequest,
    tables: AuthenticationTables | undefined,
    route: string | undefined,
  ): Authentication {
    const { logger, counts, confirmedAgeMs, rules } = this.#options;
    const ageMs = confirmedAgeMs();
    const isStale = tables === undefined || !mayAcceptKeys({ ...rules, confirmedAgeMs: ageMs });
    const bytes = key === undefined || key === '' ? undefined : toBytes(key);
    const account = bytes && tables?.accounts?.find(bytes);
    if (account !== undefined && !isStale) {
      if (!again) counts.recordRequest(account.name);
      return { kind: 'account', account };
    }
    const kind = isStale ? 'stale' : 'denied';
    counts.recordRefusal(kind, account?.name);
    logger.info('request-refused', {
      ...{ request: id, route, reason: isStale ? 'tables-not-confirmed' : reasonOf(key) },
      key: bytes && fingerprintOf(bytes),
      account: account?.name,
      revision: tables?.revision,
      tablesAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
    return { kind };
  }
}
