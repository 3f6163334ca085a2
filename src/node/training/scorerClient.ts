import http from 'node:http';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Scorer } from './sampleGenerator.ts';
import { GenerationError } from './tokenCollector.ts';

export interface ScorerClientOptions {
  /** Scorers that may get work; undefined: the job's samples are not scored. */
  readonly scorers: () => readonly WorkerEndpoint[] | undefined;
  /** Time for one call, in ms. */
  readonly timeoutMs: number;
}

/** Scorers tried for one sample. */
const MAX_ATTEMPTS = 3;

const MAX_ANSWER_BYTES = 64 * 1024;

const readScores = (text: string): Readonly<Record<string, number>> => {
  const { scores } = JSON.parse(text) as { scores?: Record<string, unknown> };
  const valid =
    typeof scores === 'object' &&
    scores !== null &&
    Object.values(scores).every((score) => typeof score === 'number');
  if (!valid) throw new GenerationError('the scorer sent no scores');
  return scores as Record<string, number>;
};

/** Calls scorers in turn, so that one that is down does not keep samples from completing. */
export class ScorerClient implements Disposable {
  readonly #options: ScorerClientOptions;

  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 64 });

  #turn = 0;

  constructor(options: ScorerClientOptions) {
    this.#options = options;
  }

  /** @throws GenerationError when no scorer gave scores */
  readonly score: Scorer = async (prompt, text, signal) => {
    const scorers = this.#options.scorers();
    if (scorers === undefined) return {};
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt += 1) {
      this.#turn += 1;
      const scorer = scorers[this.#turn % scorers.length];
      if (scorer === undefined) break;
      try {
        return readScores(await this.#call(scorer, JSON.stringify({ prompt, text }), signal));
      } catch {
        // The next scorer is tried.
      }
    }
    throw new GenerationError('no scorer gave scores');
  };

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }

  #call(scorer: WorkerEndpoint, body: string, signal: AbortSignal): Promise<string> {
    return new Promise((resolve, reject) => {
      const limit = AbortSignal.timeout(this.#options.timeoutMs);
      const request = http.request(
        `http://${scorer.address}/score`,
        {
          method: 'POST',
          agent: this.#agent,
          headers: { 'content-type': 'application/json' },
          signal: AbortSignal.any([signal, limit]),
        },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => {
            text += chunk;
            if (text.length > MAX_ANSWER_BYTES) response.destroy(new Error('answer too long'));
          });
          response.on('error', reject);
          response.on('end', () => {
            if (response.statusCode === 200) resolve(text);
            else reject(new Error(`scorer answered ${response.statusCode}`));
          });
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}
