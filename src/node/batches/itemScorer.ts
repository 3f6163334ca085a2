import type { ScoringCall } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import type { Forwarder } from '../gateway/forwarder.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { Logger } from '../observability/logger.ts';
import { SCORING_BUDGET_MS, SCORING_RETRY_MS } from './constants.ts';

export interface ItemScorerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly forwarder: Pick<Forwarder, 'forward'>;
  /** The route of a scoring call by its host and path. */
  readonly findRoute: (host: string, path: string) => GatewayRoute | undefined;
}

/** Gets the score of a finished text. */
export class ItemScorer {
  readonly #options: ItemScorerOptions;

  constructor(options: ItemScorerOptions) {
    this.#options = options;
  }

  /**
   * Repeats the call until it is answered.
   *
   * @param signal - ends the attempts
   * @returns the score; undefined when the service failed the call as often as its route allows, or `signal` aborted
   */
  async score(call: ScoringCall, signal: AbortSignal): Promise<string | undefined> {
    const { clock, logger, forwarder, findRoute } = this.#options;
    let failures = 0;
    while (!signal.aborted) {
      const route = findRoute(call.host, call.path.split('?', 1)[0] ?? '/');
      const request = {
        ...{ id: call.id, host: call.host, path: call.path, method: 'POST' },
        headers: [['content-type', 'application/octet-stream']] as const,
        body: Buffer.from(call.body),
        arrived: new Stopwatch(clock),
        budgetMs: SCORING_BUDGET_MS,
      };
      const outcome = route && (await forwarder.forward(request, route, signal));
      if (outcome?.kind === 'answer') {
        if (outcome.statusCode < 300 && outcome.stamp !== undefined) return outcome.stamp;
        failures += Math.max(1, outcome.failures);
        if (route !== undefined && failures >= route.maxAttempts) {
          logger.warn('scoring-given-up', { request: call.id, route: route.name, failures });
          return undefined;
        }
      } else {
        await sleep(clock, SCORING_RETRY_MS, signal);
      }
    }
    return undefined;
  }
}
