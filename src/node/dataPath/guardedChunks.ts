import type { IncomingMessage } from 'node:http';
import type { StallDetector } from '../decisions/stallDetector.ts';

/**
 * Yields the chunks of a response. The guard's idle time counts only while the next chunk is awaited. Throws when the
 * response is truncated, even if Node reports a clean end.
 */
export async function* guardedChunks(
  response: IncomingMessage,
  guard: StallDetector,
): AsyncGenerator<Buffer> {
  const chunks = (response as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  try {
    for (;;) {
      guard.startWaiting();
      const next = await chunks.next();
      guard.recordProgress();
      if (next.done) break;
      yield next.value;
    }
    if (!response.complete) throw new Error('the response was truncated');
  } finally {
    guard.recordProgress();
    if (!response.complete) response.destroy();
  }
}
