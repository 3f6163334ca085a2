import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import type { StallDetector } from '../decisions/stallDetector.ts';
import { MAX_EVENT_CHARS } from './constants.ts';
import type { TokenChunk } from './engineApi.ts';
import { EngineError, parseEvent } from './engineMessages.ts';
import { guardedChunks } from './guardedChunks.ts';

const END_OF_STREAM = '[DONE]';

/** Yields the data of the server-sent events in each chunk as one array, so that no event waits for a later chunk. */
async function* readEvents(
  response: IncomingMessage,
  guard: StallDetector,
): AsyncGenerator<readonly string[]> {
  const decoder = new TextDecoder();
  let events: string[] = [];
  let parserError: Error | undefined;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onEvent: ({ data }) => events.push(data),
    onError: (error) => {
      if (error.type === 'max-buffer-size-exceeded') parserError = error;
    },
  });
  for await (const chunk of guardedChunks(response, guard)) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (parserError) throw parserError;
    if (events.length > 0) yield events;
    events = [];
  }
}

/**
 * Yields the token chunks of an engine's stream. The last one is held back until the stream ends, because the prompt's
 * token count follows it. Errors after the last chunk are ignored, since the generation is complete.
 */
export async function* readTokenChunks(
  response: IncomingMessage,
  guard: StallDetector,
): AsyncGenerator<TokenChunk> {
  let lastChunk: TokenChunk | undefined;
  try {
    for await (const events of readEvents(response, guard)) {
      for (const data of events) {
        if (data === END_OF_STREAM) continue;
        const event = parseEvent(data);
        if (event.kind === 'usage') {
          if (lastChunk) lastChunk = { ...lastChunk, promptTokens: event.promptTokens };
        } else if (event.chunk.finishReason !== undefined) {
          lastChunk = event.chunk;
        } else {
          yield event.chunk;
        }
      }
    }
  } catch (error) {
    if (lastChunk === undefined) throw error;
  }
  if (lastChunk === undefined) throw new EngineError('the stream ended without a finish reason');
  yield lastChunk;
}
