import http from 'node:http';
import { receiveResponse } from '../../shared/responseHead.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Scorer } from './sampleGenerator.ts';
import { GenerationError } from './tokenCollector.ts';

export interface ScorerClientOptions {
  /** Scorers that may be called; undefined when the samples of the job are not scored. */
  readonly scorers: () => readonly WorkerEndpoint[] | undefined;
  /** Time limit of one call, in ms. */
  readonly timeoutMs: number;
}

/** Maximum number of calls to score one sample. */
const MAX_ATTEMPTS = 3;

const MAX_RESPONSE_BYTES = 64 * 1024;

const readScores = (text: string): Readonly<Record<string, number>> => {
  const { scores } = JSON.parse(text) as { scores?: Record<string, unknown> };
  const valid =
    typeof scores === 'object' &&
    scores !== null &&
    Object.values(scores).every((score) => typeof score === 'number');
  if (!valid) throw new GenerationError('the scorer returned no valid scores');
  return scores as Record<string, number>;
};

/** Calls the scorers in rotation, so that one unavailable scorer does not prevent samples from completing. */
export class ScorerClient implements Disposable {
  readonly #options: ScorerClientOptions;

  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 64 });

  #nextScorer = 0;

  constructor(options: ScorerClientOptions) {
    this.#options = options;
  }

  /** @throws GenerationError when no scorer returned scores */
  readonly score: Scorer = async (prompt, text, signal) => {
    const scorers = this.#options.scorers();
    if (scorers === undefined) return {};
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt += 1) {
      this.#nextScorer += 1;
      const scorer = scorers[this.#nextScorer % scorers.length];
      if (scorer === undefined) break;
      try {
        return readScores(await this.#call(scorer, JSON.stringify({ prompt, text }), signal));
      } catch {
        // Continues with the next scorer.
      }
    }
    throw new GenerationError('no scorer returned scores');
  };

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }

  #call(scorer: WorkerEndpoint, body: string, signal: AbortSignal): Promise<string> {
    return new Promise((resolve, reject) => {
      const timeout = AbortSignal.timeout(this.#options.timeoutMs);
      const callSignal = AbortSignal.any([signal, timeout]);
      const request = http.request(`http://${scorer.address}/score`, {
        method: 'POST',
        agent: this.#agent,
        headers: { 'content-type': 'application/json' },
        signal: callSignal,
      });
      const read = (response: http.IncomingMessage) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          if (text.length > MAX_RESPONSE_BYTES) response.destroy(new Error('response too long'));
        });
        response.on('error', reject);
        response.on('end', () => {
          if (response.statusCode === 200) resolve(text);
          else reject(new Error(`scorer responded with status ${response.statusCode}`));
        });
      };
      request.on('error', reject);
      receiveResponse(request, read, reject, callSignal);
      request.end(body);
    });
  }
}
