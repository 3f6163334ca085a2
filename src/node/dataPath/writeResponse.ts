import type { ServerResponse } from 'node:http';

const waitForDrain = (response: ServerResponse, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    const done = () => {
      response.off('drain', done);
      response.off('close', done);
      signal.removeEventListener('abort', done);
      resolve();
    };
    response.once('drain', done);
    response.once('close', done);
    signal.addEventListener('abort', done, { once: true });
  });

/** Writes a chunk and applies backpressure. Throws when the caller has disconnected or the request was cancelled. */
export const writeChunk = async (
  response: ServerResponse,
  chunk: Buffer | string,
  signal: AbortSignal,
): Promise<void> => {
  if (!response.write(chunk) && !response.destroyed && !signal.aborted) {
    await waitForDrain(response, signal);
  }
  if (response.destroyed || signal.aborted) throw new Error('request cancelled or timed out');
};

/** Ends a response and waits until it has been flushed to the connection. Throws when it cannot be completed. */
export const endResponse = async (
  response: ServerResponse,
  signal: AbortSignal,
  lastChunk = '',
): Promise<void> => {
  await new Promise<void>((resolve) => {
    response.once('close', resolve);
    signal.addEventListener('abort', () => resolve(), { once: true });
    response.end(lastChunk, () => resolve());
  });
  if (!response.writableFinished) throw new Error('request cancelled or timed out');
};
