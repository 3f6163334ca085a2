import type { ServerResponse } from 'node:http';
import {
  type CompletionIdentity,
  type CompletionWriter,
  commonFieldsOf,
  usageOf,
} from './completionWriter.ts';
import type { TokenChunk } from './engineApi.ts';
import { problemBody, type ProblemFields } from './problem.ts';
import { endResponse, writeChunk } from './writeResponse.ts';

/** Streams a completion as server-sent events, one for each chunk of the engine. */
export class StreamedCompletionWriter implements CompletionWriter {
  readonly #response: ServerResponse;

  readonly #commonFields: ReturnType<typeof commonFieldsOf>;

  readonly #includeUsage: boolean;

  readonly #signal: AbortSignal;

  #completionTokens = 0;

  #promptTokens: number | undefined;

  constructor(
    response: ServerResponse,
    identity: CompletionIdentity,
    includeUsage: boolean,
    signal: AbortSignal,
  ) {
    this.#response = response;
    this.#commonFields = commonFieldsOf(identity);
    this.#includeUsage = includeUsage;
    this.#signal = signal;
  }

  get headersSent(): boolean {
    return this.#response.headersSent;
  }

  async write(chunk: TokenChunk): Promise<void> {
    this.#completionTokens += chunk.tokenIds.length;
    this.#promptTokens = chunk.promptTokens ?? this.#promptTokens;
    const event = {
      ...this.#commonFields,
      choices: [
        {
          index: 0,
          text: chunk.text,
          finish_reason: chunk.finishReason ?? null,
          logprobs: null,
        },
      ],
      token_ids: chunk.tokenIds,
      weight_version: chunk.weightVersion,
      position: chunk.position,
    };
    if (!this.headersSent) {
      this.#response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
    }
    await writeChunk(this.#response, `data: ${JSON.stringify(event)}\n\n`, this.#signal);
  }

  async end(): Promise<void> {
    const usage = {
      ...this.#commonFields,
      choices: [],
      usage: usageOf(this.#promptTokens, this.#completionTokens),
    };
    const last = this.#includeUsage ? `data: ${JSON.stringify(usage)}\n\n` : '';
    await endResponse(this.#response, this.#signal, `${last}data: [DONE]\n\n`);
  }

  fail(detail: string, fields: ProblemFields): void {
    this.#response.write(`event: error\ndata: ${JSON.stringify(problemBody(detail, fields))}\n\n`);
    // Closing without the last chunk keeps a client that ignores the event from taking the stream for complete.
    this.#response.socket?.destroySoon();
  }
}
