import type { IncomingMessage } from 'node:http';
import type { ProgressGuard } from '../decisions/progressGuard.ts';

/**
 * Yields the chunks of a response. The guard's idle time counts only while the next chunk is awaited. Throws when the
 * response is truncated, even if Node reports a clean end.
 */
export async function* guardedChunks(
  response: IncomingMessage,
  guard: ProgressGuard,
): AsyncGenerator<Buffer> {
  const chunks = (response as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  try {
    for (;;) {
      guard.wait();
      const next = await chunks.next();
      guard.progress();
      if (next.done) break;
      yield next.value;
    }
    if (!response.complete) throw new Error('the response was truncated');
  } finally {
    guard.progress();
    if (!response.complete) response.destroy();
  }
}
