import type { ServerResponse } from 'node:http';
import {
  type CompletionIdentity,
  type CompletionWriter,
  commonFieldsOf,
  usageOf,
} from './completionWriter.ts';
import type { TokenChunk } from './engineApi.ts';
import { endResponse } from './writeResponse.ts';

/** Collects a completion and sends it as one JSON object when the generation has ended. */
export class BufferedCompletionWriter implements CompletionWriter {
  readonly #response: ServerResponse;

  readonly #identity: CompletionIdentity;

  readonly #signal: AbortSignal;

  readonly #texts: string[] = [];

  readonly #tokenIds: number[] = [];

  readonly #weightVersions: number[] = [];

  #lastChunk: TokenChunk | undefined;

  constructor(response: ServerResponse, identity: CompletionIdentity, signal: AbortSignal) {
    this.#response = response;
    this.#identity = identity;
    this.#signal = signal;
  }

  get headersSent(): boolean {
    return this.#response.headersSent;
  }

  async write(chunk: TokenChunk): Promise<void> {
    this.#texts.push(chunk.text);
    for (const token of chunk.tokenIds) {
      this.#tokenIds.push(token);
      this.#weightVersions.push(chunk.weightVersion);
    }
    this.#lastChunk = chunk;
  }

  async end(): Promise<void> {
    const body = JSON.stringify({
      ...commonFieldsOf(this.#identity),
      choices: [
        {
          index: 0,
          text: this.#texts.join(''),
          finish_reason: this.#lastChunk?.finishReason ?? null,
          logprobs: null,
        },
      ],
      usage: usageOf(this.#lastChunk?.promptTokens, this.#tokenIds.length),
      token_ids: this.#tokenIds,
      token_versions: this.#weightVersions,
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
