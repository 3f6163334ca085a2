import type { IncomingMessage } from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import { readFullBody } from '../dataPath/requestBody.ts';

/**
 * Reads the complete body of a keyed request.
 *
 * @param timeoutMs - time limit for the upload, in ms; bounds callers that send their body very slowly
 * @throws RequestError when the body is too large, incomplete or late
 */
export const readKeyedBody = async (
  request: IncomingMessage,
  maxBytes: number,
  clock: Clock,
  timeoutMs: number,
): Promise<Buffer> => {
  const abort = new AbortController();
  const timer = clock.schedule(timeoutMs, () => abort.abort());
  try {
    return await readFullBody(request, maxBytes, abort.signal);
  } finally {
    timer[Symbol.dispose]();
  }
};
