import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import type { ProgressGuard } from '../decisions/progressGuard.ts';
import { MAX_EVENT_CHARS } from './constants.ts';
import type { TokenChunk } from './engineApi.ts';
import { EngineError, parseEvent } from './engineMessages.ts';
import { watchedChunks } from './watchedChunks.ts';

const END_OF_STREAM = '[DONE]';

/** Events of a stream in arrays, one for each chunk of bytes, so that no event is held longer than its chunk. */
async function* readEvents(
  answer: IncomingMessage,
  guard: ProgressGuard,
): AsyncGenerator<readonly string[]> {
  const decoder = new TextDecoder();
  let events: string[] = [];
  let fault: Error | undefined;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onEvent: ({ data }) => events.push(data),
    onError: (error) => {
      if (error.type === 'max-buffer-size-exceeded') fault = error;
    },
  });
  for await (const chunk of watchedChunks(answer, guard)) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (fault) throw fault;
    if (events.length > 0) yield events;
    events = [];
  }
}

/**
 * The last chunk is held back until the stream ends, because the prompt's token count follows it. What fails after
 * the last chunk does not matter.
 */
export async function* readTokenChunks(
  answer: IncomingMessage,
  guard: ProgressGuard,
): AsyncGenerator<TokenChunk> {
  let last: TokenChunk | undefined;
  try {
    for await (const events of readEvents(answer, guard)) {
      for (const data of events) {
        if (data === END_OF_STREAM) continue;
        const event = parseEvent(data);
        if (event.kind === 'usage') {
          if (last) last = { ...last, promptTokens: event.promptTokens };
        } else if (event.chunk.finishReason !== undefined) {
          last = event.chunk;
        } else {
          yield event.chunk;
        }
      }
    }
  } catch (error) {
    if (last === undefined) throw error;
  }
  if (last === undefined) throw new EngineError('the stream ended without a finish reason');
  yield last;
}
