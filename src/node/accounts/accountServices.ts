import { create } from '@bufbuild/protobuf';
import {
  type AccountStatus,
  AccountStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { HeartbeatResponse } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Stopwatch } from '../../shared/clock.ts';
import { TablesConfirmation } from '../decisions/accounts/tablesConfirmation.ts';
import type { AccountWaiting } from '../gateway/admissionGate.ts';
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
  readonly tables: Pick<TablesFollower, 'tables' | 'accounts' | 'routes' | 'version' | 'ageMs'>;
  readonly settings: Pick<ResolvedGateway, 'strictRevocation' | 'revokeAfterMs'>;
}

/**
 * Part of the time after which keyed requests are refused that a call for changes of the tables may wait: the age of the
 * tables grows during such a call, at a relay and then at the node that asks it, and a slow platform adds to it.
 */
const TABLES_WAIT_SHARE = 1 / 5;

/** Longest wait of a call for changes of the tables, in ms; Infinity where nothing depends on their age. */
export const longestTablesWaitMs = ({
  strictRevocation,
  revokeAfterMs,
}: AccountServicesOptions['settings']): number =>
  strictRevocation ? Math.round(revokeAfterMs * TABLES_WAIT_SHARE) : Infinity;

/** What a node offers for the client accounts of its tables. */
export class AccountServices {
  readonly #options: AccountServicesOptions;

  readonly #counts: AccountCounts;

  readonly #authentication: AccountAuthentication;

  readonly #confirmation = new TablesConfirmation();

  constructor(options: AccountServicesOptions) {
    this.#options = options;
    const { logger, metrics, tables, settings } = options;
    this.#counts = new AccountCounts(metrics.registry);
    this.#authentication = new AccountAuthentication({
      ...{ logger, counts: this.#counts },
      tables: () =>
        tables.tables && { revision: tables.tables.revision, accounts: tables.accounts },
      confirmedAgeMs: () => this.confirmedAgeMs,
      rules: { strict: settings.strictRevocation, revokeAfterMs: settings.revokeAfterMs },
    });
  }

  /** Time since the platform, a relay or a peer confirmed that the tables are current, in ms. */
  get confirmedAgeMs(): number {
    const { ageMs, version } = this.#options.tables;
    return Math.min(ageMs, this.#confirmation.ageMs(version));
  }

  /** Learns from the response to a heartbeat whether the tables are current. */
  peerResponded({ responder, tablesAgeMs }: HeartbeatResponse, sentAt: Stopwatch): void {
    const peer = { version: Number(responder?.acceptedRevision ?? 0), ageMs: tablesAgeMs };
    this.#confirmation.recordPeer(peer, this.#options.tables.version, sentAt);
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

  /**
   * The accounts in force, for operators.
   *
   * @param waiting - accounts whose requests wait for full pools or were refused by them
   */
  status(waiting: readonly AccountWaiting[]): AccountStatus[] {
    const index = this.#options.tables.accounts;
    const waitingOf = new Map(waiting.map((each) => [each.account, each]));
    return [...(index?.accounts.values() ?? [])].map(({ name, priority }) => {
      const { requests, refused } = this.#counts.of(name);
      return create(AccountStatusSchema, {
        ...{ name, priority, keys: index?.keysOf(name) ?? 0 },
        requests: BigInt(requests),
        waiting: waitingOf.get(name)?.waiting,
        refused: BigInt(refused + (waitingOf.get(name)?.refused ?? 0)),
      });
    });
  }
}
