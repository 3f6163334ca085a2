import type { ScoringCall } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import type { Forwarder } from '../gateway/forwarder.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { Logger } from '../observability/logger.ts';
import { MAX_SCORING_RETRY_MS, SCORING_BUDGET_MS, SCORING_RETRY_MS } from './constants.ts';

export interface ItemScorerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly forwarder: Pick<Forwarder, 'forward'>;
  /** Finds the route of a scoring call by its host and path. */
  readonly findRoute: (host: string, path: string) => GatewayRoute | undefined;
}

/** Requests the score of a finished text from a scoring service. */
export class ItemScorer {
  readonly #options: ItemScorerOptions;

  constructor(options: ItemScorerOptions) {
    this.#options = options;
  }

  /**
   * Repeats the call until it receives a score. Only workers that report that the call failed count as failures; one that
   * ran out of time or was not reached says nothing of the call.
   *
   * @param signal - stops the attempts when aborted
   * @returns the score; undefined when the service has failed as often as the route allows, or when `signal` is aborted
   */
  async score(call: ScoringCall, signal: AbortSignal): Promise<string | undefined> {
    const { clock, logger, forwarder, findRoute } = this.#options;
    let failures = 0;
    let retryDelayMs = SCORING_RETRY_MS;
    while (!signal.aborted) {
      const route = findRoute(call.host, call.path.split('?', 1)[0] ?? '/');
      const request = {
        ...{ id: call.id, host: call.host, path: call.path, method: 'POST' },
        headers: [['content-type', 'application/octet-stream']] as const,
        body: Buffer.from(call.body),
        sinceArrival: new Stopwatch(clock),
        budgetMs: SCORING_BUDGET_MS,
        scoring: true,
      };
      const outcome = route && (await forwarder.forward(request, route, signal));
      if (outcome?.kind === 'answer') {
        if (outcome.statusCode < 300 && outcome.stamp !== undefined) return outcome.stamp;
        failures += outcome.failures;
        if (route !== undefined && failures >= route.maxAttempts) {
          logger.warn('scoring-given-up', { request: call.id, route: route.name, failures });
          return undefined;
        }
        if (outcome.failures > 0) continue;
      }
      const retryAfterMs = outcome?.kind === 'not-run' ? outcome.retryAfterMs : undefined;
      logger.info('scoring-repeated', {
        request: call.id,
        outcome: outcome?.kind ?? 'no-route',
        status: outcome?.kind === 'answer' ? outcome.statusCode : undefined,
        failures,
      });
      await sleep(clock, retryAfterMs ?? retryDelayMs, signal);
      retryDelayMs = Math.min(MAX_SCORING_RETRY_MS, retryDelayMs * 2);
    }
    return undefined;
  }
}
