import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { WorkerHttp } from './workerHttp.ts';

/** Load report of a plain service. */
export interface ServiceLoad {
  /** Undefined when the service does not report it. */
  readonly running?: number;
  readonly state: 'ready' | 'leaving' | 'failed';
}

/**
 * Asks a plain service for its load. A service without `GET /load` answers with another status than 200, which shows
 * that it is alive.
 *
 * @throws WorkerCallError when there is no answer
 */
export const readServiceLoad = async (
  http: WorkerHttp,
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
