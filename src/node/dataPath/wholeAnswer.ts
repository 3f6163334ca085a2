import type { ServerResponse } from 'node:http';
import {
  type AnswerIdentity,
  type CompletionAnswer,
  frameOf,
  usageOf,
} from './completionsAnswer.ts';
import type { TokenChunk } from './engineApi.ts';
import { endResponse } from './writeResponse.ts';

/** One JSON object, sent when the generation has ended. */
export class WholeAnswer implements CompletionAnswer {
  readonly #response: ServerResponse;

  readonly #identity: AnswerIdentity;

  readonly #signal: AbortSignal;

  readonly #texts: string[] = [];

  readonly #tokenIds: number[] = [];

  readonly #versions: number[] = [];

  #last: TokenChunk | undefined;

  constructor(response: ServerResponse, identity: AnswerIdentity, signal: AbortSignal) {
    this.#response = response;
    this.#identity = identity;
    this.#signal = signal;
  }

  get begun(): boolean {
    return this.#response.headersSent;
  }

  async add(chunk: TokenChunk): Promise<void> {
    this.#texts.push(chunk.text);
    for (const token of chunk.tokenIds) {
      this.#tokenIds.push(token);
      this.#versions.push(chunk.weightVersion);
    }
    this.#last = chunk;
  }

  async end(): Promise<void> {
    const body = JSON.stringify({
      ...frameOf(this.#identity),
      choices: [
        {
          index: 0,
          text: this.#texts.join(''),
          finish_reason: this.#last?.finishReason ?? null,
          logprobs: null,
        },
      ],
      usage: usageOf(this.#last?.promptTokens, this.#tokenIds.length),
      token_ids: this.#tokenIds,
      token_versions: this.#versions,
    });
    this.#response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    await endResponse(this.#response, this.#signal, body);
  }

  fail(): void {
    this.#response.destroy();
  }
}
