import { Priority } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { MAX_QUEUE_WAIT_MS } from '../dataPath/constants.ts';
import type { AdmissionRequest } from '../decisions/admission.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';

/** Creates the request with which a home asks for admission. The limits per caller apply at each home separately. */
export const admissionRequestOf = (route: ResolvedRoute, caller: string): AdmissionRequest => {
  const { limitPerCaller: limit, timeoutMs } = route;
  const isLimited = limit.maxConcurrent !== Infinity || limit.maxRequestsPerSecond !== Infinity;
  return {
    pool: route.pool,
    priority: route.priority === Priority.TRAINING ? 'training' : 'caller',
    maxWaitMs: Math.min(MAX_QUEUE_WAIT_MS, timeoutMs / 2),
    caller: isLimited ? { key: `${route.name}|${caller}`, limit } : undefined,
  };
};
