import type { ForwardingAccount } from '../../gateway/forwardedRequest.ts';
import type { GatewayRoute } from '../../gateway/gatewayTables.ts';

/** Priority of a request: its account's, or else its route's. 0 is the most urgent. */
export const priorityOf = (
  account: ForwardingAccount | undefined,
  route: Pick<GatewayRoute, 'priority'>,
): number => account?.priority ?? route.priority;

/**
 * The most urgent priority that a request for a pool can have; Infinity without routes to the pool. Batch routes do not
 * count, because items wait at their dispatcher.
 *
 * @param accounts - empty where there are no accounts
 */
export const mostUrgentPriority = (
  routes: readonly GatewayRoute[],
  accounts: Iterable<ForwardingAccount>,
  pool: string,
): number => {
  const leading = routes.filter(
    ({ kind, pools }) => kind !== 'batch' && pools.some((other) => other.pool === pool),
  );
  const keyed = leading.filter(({ isPublic }) => !isPublic).map(({ priority }) => priority);
  const open = leading.filter(({ isPublic }) => isPublic).map(({ priority }) => priority);
  const mostUrgentRoute = Math.min(...keyed);
  if (keyed.length === 0) return Math.min(...open);
  const ofAccounts = [...accounts].map((account) => account.priority ?? mostUrgentRoute);
  return Math.min(...open, ...(ofAccounts.length === 0 ? [mostUrgentRoute] : ofAccounts));
};
