import type { IncomingMessage } from 'node:http';
import { requestError } from './problem.ts';

/**
 * Reads a complete request body.
 *
 * @param maxBytes - largest accepted size
 * @throws RequestError with outcome `not-run` when the body is larger or the upload was interrupted
 */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) break;
      chunks.push(chunk);
    }
  } catch (error) {
    throw requestError(
      'the upload was interrupted before the request body was complete',
      { outcome: 'not-run', statusCode: 400, code: 'truncated-request' },
      error,
    );
  }
  if (sizeBytes > maxBytes) {
    throw requestError(`the request body is larger than ${maxBytes} bytes`, {
      outcome: 'not-run',
      statusCode: 413,
      code: 'body-too-large',
    });
  }
  return Buffer.concat(chunks);
};
