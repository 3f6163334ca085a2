import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { WorkerHttpClient } from './workerHttpClient.ts';

/** Load report of a plain service. */
export interface ServiceLoad {
  /** Requests in progress; undefined when the service does not report them. */
  readonly running?: number;
  readonly state: 'ready' | 'leaving' | 'failed';
}

/**
 * Reads the load report of a plain service. A service without `GET /load` responds with a status other than 200 and
 * counts as ready, since it is reachable.
 *
 * @throws WorkerCallError when there is no response
 */
export const readServiceLoad = async (
  http: WorkerHttpClient,
  worker: WorkerEndpoint,
  newConnection = false,
): Promise<ServiceLoad> => {
  const response = await http.call(worker, { method: 'GET', path: '/load', newConnection });
  if (response.statusCode !== 200) return { state: 'ready' };
  try {
    const load = JSON.parse(response.body.toString()) as { running?: unknown; state?: unknown };
    return {
      running: typeof load.running === 'number' ? load.running : undefined,
      state: load.state === 'leaving' || load.state === 'failed' ? load.state : 'ready',
    };
  } catch {
    return { state: 'ready' };
  }
};
