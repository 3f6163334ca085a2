import http from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { Random } from '../../shared/random.ts';
import { CALLER_HEADER } from '../constants.ts';
import { matchRoute } from '../decisions/matchRoute.ts';
import type { WorkerSelector } from '../decisions/workerSelection.ts';
import type { MembershipView, TablesView, WorkerEndpoint } from '../membership/membershipView.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';
import { forwardHeaders } from './forwardHeaders.ts';
import { headerOf, pathOf, type RequestHandler } from './httpServer.ts';
import { requestError } from './problem.ts';

export interface RequestRouterOptions {
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly selectWorker: WorkerSelector;
  readonly random: Random;
  readonly metrics: Metrics;
}

/** Sends callers' requests to a worker of the pool that their route names. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  readonly #agent = new http.Agent({ keepAlive: true });

  readonly #inFlight = new Map<string, number>();

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  readonly handler: RequestHandler = async (request, response) => {
    const { tables, membership, metrics } = this.#options;
    const current = tables.current();
    if (!membership.mayServe() || current === undefined) {
      throw requestError('this node takes no new work now; use another entry', {
        outcome: 'not-run',
        statusCode: 503,
        code: 'not-serving',
        retryAfterMs: 1000,
      });
    }
    const route = matchRoute(current, {
      method: request.method ?? 'GET',
      path: pathOf(request),
      caller: headerOf(request, CALLER_HEADER),
      headers: request.headers,
    });
    if (route === undefined) {
      throw requestError('no route matches the request', {
        outcome: 'not-run',
        statusCode: 404,
        code: 'no-route',
      });
    }
    const worker = this.#select(route);
    await this.#send(route, worker, request, response);
    metrics.requests.inc({ route: route.name, outcome: 'answered' });
    return true;
  };

  #select(route: ResolvedRoute): WorkerEndpoint {
    const { membership, selectWorker, random } = this.#options;
    const candidates = membership.workersOf(route.pool).map((worker) => ({
      ...worker,
      inFlight: this.#inFlight.get(worker.address) ?? 0,
    }));
    const worker = selectWorker(candidates, {
      availabilityZone: membership.self.availabilityZone,
      random,
    });
    if (worker === undefined) {
      throw requestError(`pool ${route.pool} has no worker that takes requests`, {
        outcome: 'not-run',
        statusCode: 503,
        code: 'no-worker',
        retryAfterMs: 1000,
      });
    }
    return worker;
  }

  async #send(
    route: ResolvedRoute,
    worker: WorkerEndpoint,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#count(worker, 1);
    try {
      const answer = await new Promise<http.IncomingMessage>((resolve, reject) => {
        const outgoing = http.request(
          `http://${worker.address}${request.url ?? '/'}`,
          {
            method: request.method,
            agent: this.#agent,
            headers: forwardHeaders(request.headers),
            signal: AbortSignal.timeout(route.timeoutMs),
          },
          resolve,
        );
        outgoing.on('error', reject);
        request.pipe(outgoing);
      });
      response.writeHead(answer.statusCode ?? 502, forwardHeaders(answer.headers));
      await pipeline(answer, response);
    } catch (error) {
      throw requestError(
        `worker of pool ${route.pool} did not answer`,
        {
          outcome: route.idempotent ? 'failed' : 'unknown',
          statusCode: 502,
          code: 'worker-failed',
        },
        error,
      );
    } finally {
      this.#count(worker, -1);
    }
  }

  #count(worker: WorkerEndpoint, change: number): void {
    const next = (this.#inFlight.get(worker.address) ?? 0) + change;
    if (next === 0) this.#inFlight.delete(worker.address);
    else this.#inFlight.set(worker.address, next);
  }
}
