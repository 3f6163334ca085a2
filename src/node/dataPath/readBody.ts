import type { IncomingMessage } from 'node:http';
import { ByteCollector, freeChunk } from '../../shared/byteCollector.ts';
import { requestError, type RequestFailure } from './problem.ts';

/** Memory for a body that is being received. */
export interface BodyMemory {
  /**
   * Asks for memory up to `bytes` in total.
   *
   * @returns undefined if it is granted, else a promise that resolves when it is
   * @throws RequestError when there will be none
   */
  grow(bytes: number): Promise<void> | undefined;
  /** Called with the number of bytes that arrived. */
  receive(bytes: number): void;
  /** Aborted with a RequestError when the upload must end. */
  readonly signal: AbortSignal;
}

export const bodyTooLarge = (maxBytes: number): RequestFailure =>
  requestError(`the request body is larger than ${maxBytes} bytes`, {
    outcome: 'not-run',
    statusCode: 413,
    code: 'body-too-large',
  });

const uploadInterrupted = (cause?: unknown): RequestFailure =>
  requestError(
    'the upload was interrupted before the request body was complete',
    { outcome: 'not-run', statusCode: 400, code: 'truncated-request' },
    cause,
  );

const toError = (reason: unknown): Error =>
  reason instanceof Error ? reason : uploadInterrupted(reason);

/** Size of a body that its sender announced; undefined where it did not. */
export const announcedBytes = ({ headers }: IncomingMessage): number | undefined =>
  headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/**
 * Reads a complete request body. Chunks are joined as they arrive; while memory is short, the connection is not read.
 *
 * @param maxBytes - largest accepted size
 * @param memory - memory that the body shares with others @default no common limit
 * @throws RequestError with outcome `not-run` when the body is larger, also if it is only announced as larger, when the
 *   upload was interrupted, or when the memory for it is refused
 */
export const readBody = async (
  request: IncomingMessage,
  maxBytes: number,
  memory?: BodyMemory,
): Promise<Buffer> => {
  const announced = announcedBytes(request);
  if ((announced ?? 0) > maxBytes) throw bodyTooLarge(maxBytes);
  if (announced === 0) return Buffer.alloc(0);
  const collector = new ByteCollector(announced ?? maxBytes);
  let settled = false;
  let settle = () => {};
  try {
    await new Promise<void>((resolve, reject) => {
      const append = (chunk: Buffer) => {
        const { length } = chunk;
        collector.append(chunk);
        freeChunk(chunk);
        memory?.receive(length);
      };
      const onData = (chunk: Buffer) => {
        const sizeBytes = collector.sizeBytes + chunk.length;
        if (sizeBytes > maxBytes) {
          reject(bodyTooLarge(maxBytes));
          return;
        }
        try {
          const granted = memory?.grow(collector.capacityFor(sizeBytes));
          if (granted === undefined) {
            append(chunk);
            return;
          }
          request.pause();
          granted.then(() => {
            if (settled) return;
            append(chunk);
            request.resume();
          }, reject);
        } catch (error) {
          reject(toError(error));
        }
      };
      const onEnd = () => (request.complete ? resolve() : reject(uploadInterrupted()));
      const onError = (error: unknown) => reject(uploadInterrupted(error));
      const onClose = () => reject(uploadInterrupted());
      const onAbort = () => reject(toError(memory?.signal.reason));
      settle = () => {
        settled = true;
        request.pause();
        request.off('data', onData).off('end', onEnd).off('close', onClose);
        memory?.signal.removeEventListener('abort', onAbort);
      };
      request.on('data', onData).on('end', onEnd).on('error', onError).on('close', onClose);
      memory?.signal.addEventListener('abort', onAbort);
      if (memory?.signal.aborted) onAbort();
      else if (request.destroyed && !request.readableEnded) onClose();
    });
    return collector.bytes();
  } catch (error) {
    collector.discard();
    throw error;
  } finally {
    settle();
  }
};
