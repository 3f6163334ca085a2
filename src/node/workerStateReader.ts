import { Protocol } from '../gen/hyssoppulley/v1/tables_pb.ts';
import type { DataPath } from './dataPath/dataPath.ts';
import { readServiceLoad } from './dataPath/serviceLoad.ts';
import type { WorkerStateReader } from './membership/workerDirectory.ts';

/**
 * Creates the function with which `Membership` probes a worker that is out of service: it reads the worker's state with
 * the HTTP clients of the data path.
 */
export const createWorkerStateReader =
  ({ engines, http }: Pick<DataPath, 'engines' | 'http'>): WorkerStateReader =>
  async (pool, worker) => {
    if (pool.protocol === Protocol.MODEL_ENGINE) return (await engines.load(worker)).state;
    return (await readServiceLoad(http, worker, true)).state;
  };
