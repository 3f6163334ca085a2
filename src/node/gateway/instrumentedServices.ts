import type { Clock } from '../../shared/clock.ts';
import { Stopwatch } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ForwardedRequest, StreamOutcome } from './forwardedRequest.ts';
import { type GatewayServices, STOPPING } from './gatewayServices.ts';
import type { GatewayRoute } from './gatewayTables.ts';

/** The tables in force when a request was handled, as included in its log line. */
export interface ActiveTables {
  readonly revision: number;
  /** Time since the tables were last known to be current, in ms. */
  readonly ageMs: number;
}

export interface InstrumentationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tables: () => ActiveTables;
}

const reasonOf = (outcome: StreamOutcome): string | undefined =>
  'reason' in outcome ? outcome.reason : undefined;

/** Wraps the services of a gateway with logging and metrics for the requests of callers and trainers. */
export const instrumentServices = (
  services: GatewayServices,
  { clock, logger, metrics, tables }: InstrumentationOptions,
): GatewayServices => {
  let wasReady: boolean | undefined;
  const tablesFields = () => {
    const { revision, ageMs } = tables();
    return { revision, tablesAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined };
  };
  const measure = async <T extends { readonly kind: string } | string>(
    call: string,
    run: () => Promise<T>,
  ): Promise<T> => {
    const started = new Stopwatch(clock);
    const result = await run();
    const outcome = typeof result === 'string' ? result : result.kind;
    metrics.batchCalls.inc({ call, outcome });
    metrics.batchCallSeconds.observe({ call }, started.elapsedMs() / 1000);
    return result;
  };
  const recordOutcome = (
    request: ForwardedRequest,
    route: GatewayRoute,
    outcome: StreamOutcome,
    signal: AbortSignal,
  ) => {
    const isDelivered = outcome.kind === 'answer' || outcome.kind === 'streamed';
    const isCallerGone = signal.aborted && signal.reason !== STOPPING;
    const outcomeLabel = isCallerGone && !isDelivered ? 'caller-gone' : outcome.kind;
    const tookMs = request.sinceArrival.elapsedMs();
    metrics.requests.inc({ route: route.name, outcome: outcomeLabel });
    metrics.requestSeconds.observe({ route: route.name }, tookMs / 1000);
    logger.info('request-answered', {
      request: request.id,
      route: route.name,
      account: request.account?.name,
      outcome: outcomeLabel,
      status: outcome.kind === 'answer' ? outcome.statusCode : undefined,
      events: outcome.kind === 'streamed' ? outcome.events : undefined,
      reason: reasonOf(outcome),
      budgetMs: Math.round(request.budgetMs),
      tookMs: Math.round(tookMs),
      ...tablesFields(),
    });
  };
  return {
    ...services,
    ready() {
      const ready = services.ready();
      if (ready !== wasReady) logger.info('readiness-changed', { ready, ...tablesFields() });
      wasReady = ready;
      return ready;
    },
    match(host, path, request) {
      const match = services.match(host, path, request);
      if (match.kind === 'route') return match;
      metrics.requests.inc({ route: '', outcome: match.kind });
      logger.info('request-answered', {
        request,
        host,
        path,
        outcome: match.kind,
        ...tablesFields(),
      });
      return match;
    },
    async forward(request, route, signal) {
      const outcome = await services.forward(request, route, signal);
      recordOutcome(request, route, outcome, signal);
      return outcome;
    },
    async forwardStream(request, route, sink, signal) {
      const outcome = await services.forwardStream(request, route, sink, signal);
      recordOutcome(request, route, outcome, signal);
      return outcome;
    },
    submitBatch: (...batch) => measure('submit', () => services.submitBatch(...batch)),
    readBatch: (...read) => measure('read', () => services.readBatch(...read)),
    async readItem(batchId, itemId, account) {
      const read = await measure('read-item', () => services.readItem(batchId, itemId, account));
      const reason = read.kind === 'no-such-item' ? read.reason : undefined;
      logger.info('item-read', {
        batch: batchId,
        item: itemId,
        account,
        outcome: read.kind,
        reason,
      });
      return read;
    },
    endBatch: (...end) => measure('end', () => services.endBatch(...end)),
  };
};
