import { invariant } from '../../shared/invariants.ts';
import { ResponseMemory } from '../dataPath/responseMemory.ts';
import { readResponseBody, WorkerCallError } from '../dataPath/workerHttpClient.ts';
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_BUFFERED_RESPONSES_BYTES } from './constants.ts';
import { promisesNotRun } from './statusPromises.ts';
import type { ResponseReader } from './workerAttempts.ts';

/**
 * Creates a reader of complete responses, which checks that a success carries the worker's stamp and that no response promises
 * what the worker does not state. All its responses share one limit on the bytes in memory.
 */
export const createResponseReader =
  (memory = new ResponseMemory(MAX_BUFFERED_RESPONSES_BYTES)): ResponseReader =>
  async (worker, response) => {
    const body = await readResponseBody(response.body, MAX_BUFFERED_RESPONSE_BYTES, memory);
    const { statusCode, headers, notRun, stamp } = response;
    const reason = `worker returned ${statusCode}`;
    if (notRun) return { worker, mayHaveRun: false, reason };
    const isSuccess = statusCode >= 200 && statusCode < 300;
    if (isSuccess && stamp === undefined) {
      throw new WorkerCallError('the response carries no worker stamp');
    }
    if (promisesNotRun(statusCode)) {
      return { worker, mayHaveRun: true, withheldStatus: statusCode, reason };
    }
    invariant(statusCode >= 200, 'final-status', { statusCode });
    return {
      worker,
      response: { kind: 'answer', statusCode, headers, body, stamp, failures: 0 },
      mayHaveRun: true,
      reason,
    };
  };
