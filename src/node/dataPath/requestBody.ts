import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { MAX_REPLAYABLE_BODY_BYTES } from './constants.ts';
import { requestError } from './problem.ts';

/** A request body. A buffered one can be sent again on a retry; a streamed one is sent once. */
export type RequestBody =
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | { readonly kind: 'streamed'; readonly stream: Readable };

const bodyTooLarge = (maxBytes: number) =>
  requestError(`the request body is larger than ${maxBytes} bytes`, {
    outcome: 'not-run',
    statusCode: 413,
    code: 'body-too-large',
  });

/** Yields the chunks of a body. Throws at the size limit, when the upload is interrupted and when `signal` aborts. */
async function* limitedChunks(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): AsyncGenerator<Buffer> {
  const chunks = (request as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  const aborted = new Promise<never>((_, reject) => {
    const onAbort = () =>
      reject(
        requestError('the request body did not arrive in time', {
          outcome: 'not-run',
          statusCode: 408,
          code: 'upload-timeout',
        }),
      );
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, { once: true });
  });
  // It may reject when nothing awaits the body any more, which must not count as an unhandled rejection.
  aborted.catch(() => {});
  let sizeBytes = 0;
  for (;;) {
    const next = await Promise.race([chunks.next(), aborted]);
    if (next.done) return;
    sizeBytes += next.value.length;
    if (sizeBytes > maxBytes) throw bodyTooLarge(maxBytes);
    yield next.value;
  }
}

const uploadInterrupted = () =>
  requestError('the upload was interrupted before the request body was complete', {
    outcome: 'not-run',
    statusCode: 400,
    code: 'truncated-request',
  });

async function* prependChunks(
  firstChunks: readonly Buffer[],
  rest: AsyncGenerator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* firstChunks;
  yield* rest;
}

/**
 * Buffers a body of up to `bufferBytes`. A longer body is returned as a stream.
 *
 * @param maxBytes - largest accepted size; a larger body fails this call or, later, the stream
 * @throws RequestError with outcome `not-run`
 */
export const prepareBody = async (
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
  bufferBytes = MAX_REPLAYABLE_BODY_BYTES,
): Promise<RequestBody> => {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) throw bodyTooLarge(maxBytes);
  if (request.complete && request.readableLength === 0) {
    return { kind: 'buffered', bytes: Buffer.alloc(0) };
  }
  const chunks = limitedChunks(request, maxBytes, signal);
  const firstChunks: Buffer[] = [];
  let sizeBytes = 0;
  while (sizeBytes <= bufferBytes) {
    const next = await chunks.next().catch((error: unknown) => {
      throw request.errored ? uploadInterrupted() : error;
    });
    if (next.done) return { kind: 'buffered', bytes: Buffer.concat(firstChunks) };
    firstChunks.push(next.value);
    sizeBytes += next.value.length;
  }
  const stream = Readable.from(prependChunks(firstChunks, chunks), {
    objectMode: false,
    highWaterMark: MAX_REPLAYABLE_BODY_BYTES,
  });
  return { kind: 'streamed', stream };
};

/**
 * Reads a complete request body into memory.
 *
 * @throws RequestError with outcome `not-run`
 */
export const readFullBody = async (
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer> => {
  const body = await prepareBody(request, maxBytes, signal, maxBytes);
  // A body of at most `maxBytes` is always buffered.
  if (body.kind === 'streamed') throw bodyTooLarge(maxBytes);
  return body.bytes;
};
