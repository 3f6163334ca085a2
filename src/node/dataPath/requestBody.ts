import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { MAX_REPLAYABLE_BODY_BYTES } from './constants.ts';
import { requestError } from './problem.ts';

/** A body that is held whole can be sent again; a streamed one is sent once. */
export type RequestBody =
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | { readonly kind: 'streamed'; readonly stream: Readable };

const bodyTooLarge = (maxBytes: number) =>
  requestError(`the body is larger than ${maxBytes} bytes`, {
    outcome: 'not-run',
    statusCode: 413,
    code: 'body-too-large',
  });

/** Chunks of a body; throws at the size limit, when the upload breaks off and when `signal` aborts. */
async function* limitedChunks(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): AsyncGenerator<Buffer> {
  const chunks = (request as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  const aborted = new Promise<never>((_, reject) => {
    const onAbort = () =>
      reject(
        requestError('the body did not arrive in time', {
          outcome: 'not-run',
          statusCode: 408,
          code: 'upload-timeout',
        }),
      );
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, { once: true });
  });
  // It may reject when nobody waits for the body any more.
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
  requestError('the upload broke off', {
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
 * Reads up to `bufferBytes` of a body. A longer body is left to be streamed.
 *
 * @param maxBytes - largest accepted size; exceeding it fails this call or, later, the stream
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
 * Reads a whole body.
 *
 * @throws RequestError with outcome `not-run`
 */
export const readWholeBody = async (
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer> => {
  const body = await prepareBody(request, maxBytes, signal, maxBytes);
  // A body of at most `maxBytes` always fits the buffer.
  if (body.kind === 'streamed') throw bodyTooLarge(maxBytes);
  return body.bytes;
};
