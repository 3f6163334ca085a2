import { create } from '@bufbuild/protobuf';
import {
  type AccountStatus,
  AccountStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { RequestTarget } from '../gateway/gatewayServices.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { TablesFollower } from '../gateway/tablesFollower.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ResolvedGateway } from '../settings/resolveSettings.ts';
import {
  AccountAuthentication,
  type Authentication,
  type KeyedRequest,
} from './accountAuthentication.ts';
import { AccountCounts } from './accountCounts.ts';

export interface AccountServicesOptions {
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'registry'>;
  readonly tables: Pick<TablesFollower, 'tables' | 'accounts' | 'routes' | 'ageMs'>;
  readonly settings: Pick<ResolvedGateway, 'strictRevocation' | 'revokeAfterMs'>;
}

/** What a node offers for the client accounts of its tables. */
export class AccountServices {
  readonly #options: AccountServicesOptions;

  readonly #counts: AccountCounts;

  readonly #authentication: AccountAuthentication;

  constructor(options: AccountServicesOptions) {
    this.#options = options;
    const { logger, metrics, tables, settings } = options;
    this.#counts = new AccountCounts(metrics.registry);
    this.#authentication = new AccountAuthentication({
      ...{ logger, counts: this.#counts },
      tables: () =>
        tables.tables && { revision: tables.tables.revision, accounts: tables.accounts },
      confirmedAgeMs: () => tables.ageMs,
      rules: { strict: settings.strictRevocation, revokeAfterMs: settings.revokeAfterMs },
    });
  }

  authenticate(request: KeyedRequest, route: GatewayRoute): Authentication {
    return this.#authentication.authenticate(request, route);
  }

  authenticateBatchCall({ host, path, ...request }: KeyedRequest & RequestTarget): Authentication {
    const route = this.#options.tables.routes.find(host, path);
    return this.#authentication.authenticateBatchCall(request, route);
  }

  /** Forgets the counts of accounts that are no longer in force. */
  tablesChanged(): void {
    const { accounts } = this.#options.tables;
    this.#counts.retain((account) => accounts?.accounts.has(account) ?? false);
  }

  /** The accounts in force, for operators. */
  status(): AccountStatus[] {
    const index = this.#options.tables.accounts;
    return [...(index?.accounts.values() ?? [])].map(({ name, priority }) => {
      const { requests, refused } = this.#counts.of(name);
      return create(AccountStatusSchema, {
        ...{ name, priority, keys: index?.keysOf(name) ?? 0 },
        requests: BigInt(requests),
        refused: BigInt(refused),
      });
    });
  }
}
