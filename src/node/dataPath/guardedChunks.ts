import type { IncomingMessage } from 'node:http';
import type { ProgressGuard } from '../decisions/progressGuard.ts';

/**
 * The chunks of an answer. The guard runs only while the next chunk is awaited. Throws when the answer is cut off, also
 * where Node reports a clean end.
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
    if (!response.complete) throw new Error('the answer was cut off');
  } finally {
    guard.progress();
    if (!response.complete) response.destroy();
  }
}
