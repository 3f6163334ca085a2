import { Protocol } from '../gen/hyssoppulley/v1/tables_pb.ts';
import type { DataPath } from './dataPath/dataPath.ts';
import { readServiceLoad } from './dataPath/serviceLoad.ts';
import type { WorkerStateReader } from './membership/workerDirectory.ts';

/** Creates a function that queries a worker's state with the clients of the data path. */
export const createWorkerStateReader =
  ({ engines, http }: Pick<DataPath, 'engines' | 'http'>): WorkerStateReader =>
  async (pool, worker) => {
    if (pool.protocol === Protocol.MODEL_ENGINE) return (await engines.load(worker)).state;
    return (await readServiceLoad(http, worker, true)).state;
  };
