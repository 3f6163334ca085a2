import http from 'node:http';
import { createParser } from 'eventsource-parser';
import type {
  EngineApi,
  EngineLoad,
  EngineOrder,
  GenerationRequest,
  OrderResult,
  TokenChunk,
} from '../dataPath/engineApi.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

/** Time for one call other than a generation, and longest silence of a stream, in ms. */
const CALL_TIMEOUT_MS = 5000;

/** Calls engines without detection of silent connections. Stands in until the data path's client is merged. */
export class SimpleEngineClient implements EngineApi {
  readonly #agent = new http.Agent({ keepAlive: true });

  async *generate(
    worker: WorkerEndpoint,
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenChunk> {
    const body = {
      prompt: request.prompt,
      max_tokens: request.maxTokens,
      temperature: request.temperature,
      seed: request.seed,
      stream: true,
      resume: request.resumeAfter && { token_ids: request.resumeAfter },
    };
    const headers = { 'x-request-id': request.streamId, 'x-priority': request.priority };
    const response = await this.#call(worker, 'POST', '/v1/completions', body, headers, signal);
    if (response.statusCode !== 200) throw new Error(`engine answered ${response.statusCode}`);
    const chunks: TokenChunk[] = [];
    const parser = createParser({
      onEvent({ data }) {
        if (data === '[DONE]') return;
        const event = JSON.parse(data) as {
          choices: { text: string; finish_reason: string | null }[];
          token_ids: number[];
          weight_version: number;
          position: number;
        };
        chunks.push({
          text: event.choices[0]?.text ?? '',
          tokenIds: event.token_ids,
          weightVersion: event.weight_version,
          position: event.position,
          finishReason: event.choices[0]?.finish_reason ?? undefined,
        });
      },
    });
    response.setEncoding('utf8');
    for await (const text of response as AsyncIterable<string>) {
      parser.feed(text);
      yield* chunks.splice(0);
    }
  }

  async load(worker: WorkerEndpoint): Promise<EngineLoad> {
    const report = (await this.#json(worker, 'GET', '/v1/load')) as Record<string, unknown>;
    return {
      running: Number(report.running),
      waiting: Number(report.waiting),
      maxRunning: Number(report.max_running),
      weightVersion: Number(report.weight_version),
      state: report.state as EngineLoad['state'],
    };
  }

  async streams(worker: WorkerEndpoint): Promise<readonly string[]> {
    return ((await this.#json(worker, 'GET', '/v1/streams')) as { streams: string[] }).streams;
  }

  async cancel(worker: WorkerEndpoint, streamId: string): Promise<void> {
    await this.#json(worker, 'DELETE', `/v1/streams/${encodeURIComponent(streamId)}`);
  }

  async order(worker: WorkerEndpoint, order: EngineOrder): Promise<OrderResult> {
    const body = {
      order_id: order.orderId,
      kind: order.kind,
      version: order.version,
      uri: order.uri,
      fencing: order.fencing,
      deadline_ms: Math.round(order.deadlineMs),
      strategy: order.strategy,
    };
    try {
      const answer = (await this.#json(worker, 'POST', '/v1/orders', body)) as { error?: string };
      if (answer.error === undefined) return { status: 'taken' };
      return { status: 'fenced', fencing: (answer as { fencing?: number }).fencing ?? 0 };
    } catch {
      return { status: 'unknown' };
    }
  }

  async #json(worker: WorkerEndpoint, method: string, path: string, body?: unknown) {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const response = await this.#call(worker, method, path, body, {}, signal);
    let text = '';
    response.setEncoding('utf8');
    for await (const part of response as AsyncIterable<string>) text += part;
    return JSON.parse(text) as unknown;
  }

  #call(
    worker: WorkerEndpoint,
    method: string,
    path: string,
    body: unknown,
    headers: http.OutgoingHttpHeaders,
    signal: AbortSignal,
  ): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        `http://${worker.address}${path}`,
        { method, agent: this.#agent, headers, signal, timeout: CALL_TIMEOUT_MS },
        resolve,
      );
      request.on('timeout', () => request.destroy(new Error('the engine was silent')));
      request.on('error', reject);
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}
