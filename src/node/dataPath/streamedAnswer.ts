import type { ServerResponse } from 'node:http';
import {
  type AnswerIdentity,
  type CompletionAnswer,
  frameOf,
  usageOf,
} from './completionsAnswer.ts';
import type { TokenChunk } from './engineApi.ts';
import { problemBody, type ProblemFields } from './problem.ts';
import { endResponse, writeChunk } from './writeResponse.ts';

/** Server-sent events, one for each chunk of the engine. */
export class StreamedAnswer implements CompletionAnswer {
  readonly #response: ServerResponse;

  readonly #frame: ReturnType<typeof frameOf>;

  readonly #includeUsage: boolean;

  readonly #signal: AbortSignal;

  #tokens = 0;

  #promptTokens: number | undefined;

  constructor(
    response: ServerResponse,
    identity: AnswerIdentity,
    includeUsage: boolean,
    signal: AbortSignal,
  ) {
    this.#response = response;
    this.#frame = frameOf(identity);
    this.#includeUsage = includeUsage;
    this.#signal = signal;
  }

  get begun(): boolean {
    return this.#response.headersSent;
  }

  async add(chunk: TokenChunk): Promise<void> {
    this.#tokens += chunk.tokenIds.length;
    this.#promptTokens = chunk.promptTokens ?? this.#promptTokens;
    const event = {
      ...this.#frame,
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
    if (!this.begun) {
      this.#response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
    }
    await writeChunk(this.#response, `data: ${JSON.stringify(event)}\n\n`, this.#signal);
  }

  async end(): Promise<void> {
    const usage = { ...this.#frame, choices: [], usage: usageOf(this.#promptTokens, this.#tokens) };
    const last = this.#includeUsage ? `data: ${JSON.stringify(usage)}\n\n` : '';
    await endResponse(this.#response, this.#signal, `${last}data: [DONE]\n\n`);
  }

  fail(detail: string, fields: ProblemFields): void {
    this.#response.end(`event: error\ndata: ${JSON.stringify(problemBody(detail, fields))}\n\n`);
  }
}
