import { randomUUID } from 'node:crypto';
import { expectedText } from '../standIns/engine.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** One kind of request of a caller. */
export interface RequestKind {
  readonly name: string;
  /** Value of `x-caller`. */
  readonly caller: string;
  readonly kind: 'completion' | 'service';
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Whether a repeat may run again. */
  readonly idempotent: boolean;
  /** Requests a second. */
  readonly ratePerSecond: number;
}

/** What became of one request. */
export type CallResult = 'answered' | 'unknown' | 'not-run' | 'wrong-answer';

export interface CallReport {
  readonly kind: string;
  readonly runId: string;
  readonly result: CallResult;
  /** By the monotonic clock of the load process. */
  readonly startMs: number;
  readonly latencyMs: number;
  readonly detail?: string;
}

interface EntriesAnswer {
  readonly entries: readonly { readonly address: string }[];
  readonly ttlMs: number;
  readonly idempotencyKeyPrefix?: string;
}

/** Time in which a caller tries again after refusals, in ms. */
const CALL_DEADLINE_MS = 20_000;
const RETRY_PAUSE_MS = 100;
const MAX_TOKENS = 12;

/** Text of a completion, streamed or whole. */
const completionText = (body: string): string => {
  const textIn = (json: string): string =>
    (JSON.parse(json) as { choices: { text: string }[] }).choices[0]?.text ?? '';
  if (!body.startsWith('data:')) return textIn(body);
  return body
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => textIn(line.slice('data: '.length)))
    .join('');
};

/** A caller as the interface describes it: asks for entries, keeps the answer, and tries others after a refusal. */
export class Caller {
  readonly #known: string[];

  #answer: EntriesAnswer | undefined;

  #keepUntilMs = 0;

  #turn = 0;

  /** @param bootstrap - entry addresses for the first question */
  constructor(bootstrap: readonly string[]) {
    this.#known = [...bootstrap];
  }

  /** Sends one request and reports what became of it. */
  async call(kind: RequestKind): Promise<CallReport> {
    const runId = randomUUID();
    const startMs = performance.now();
    let result: CallResult = 'not-run';
    let detail: string | undefined;
    let mayRepeat = true;
    while (mayRepeat && performance.now() - startMs < CALL_DEADLINE_MS) {
      const attempt = await this.#attempt(kind, runId);
      ({ result, detail } = attempt);
      const final = result === 'answered' || result === 'wrong-answer';
      // A refusal is true for its key, so a new key may be used; an unknown result may have run.
      mayRepeat = !final && (kind.idempotent || result === 'not-run');
      if (mayRepeat) await sleepMs(RETRY_PAUSE_MS);
    }
    const latencyMs = performance.now() - startMs;
    return { kind: kind.name, runId, result, detail, startMs, latencyMs };
  }

  async #attempt(
    kind: RequestKind,
    runId: string,
  ): Promise<{ result: CallResult; detail?: string }> {
    const entries = await this.#entries();
    this.#turn += 1;
    const entry = entries.entries[this.#turn % Math.max(1, entries.entries.length)];
    if (entry === undefined) return { result: 'not-run', detail: 'no entries' };
    const headers: Record<string, string> = { 'x-caller': kind.caller, 'x-run-id': runId };
    if (!kind.idempotent && entries.idempotencyKeyPrefix) {
      headers['idempotency-key'] = `${entries.idempotencyKeyPrefix}${randomUUID()}`;
    }
    const seed = this.#turn;
    const body =
      kind.kind === 'completion'
        ? JSON.stringify({ prompt: runId, max_tokens: MAX_TOKENS, seed, stream: seed % 2 === 0 })
        : `report ${runId}`;
    try {
      const response = await fetch(`http://${entry.address}${kind.path}`, {
        method: kind.method,
        headers,
        body: kind.method === 'GET' ? undefined : body,
        signal: AbortSignal.timeout(CALL_DEADLINE_MS),
      });
      const text = await response.text();
      const outcome = response.headers.get('x-hyssoppulley-outcome');
      if (outcome) return { result: outcome === 'not-run' ? 'not-run' : 'unknown', detail: text };
      const own =
        kind.kind === 'completion'
          ? completionText(text) === expectedText(runId, seed, MAX_TOKENS)
          : (JSON.parse(text) as { runId: string }).runId === runId;
      return own ? { result: 'answered' } : { result: 'wrong-answer', detail: text };
    } catch (error) {
      this.#answer = undefined;
      // A refused connection carried nothing; any other break may have come after the request was taken.
      const { code } = ((error as Error).cause ?? {}) as { code?: string };
      return { result: code === 'ECONNREFUSED' ? 'not-run' : 'unknown', detail: String(error) };
    }
  }

  async #entries(): Promise<EntriesAnswer> {
    if (this.#answer && performance.now() < this.#keepUntilMs) return this.#answer;
    for (const address of [...this.#known].sort(() => Math.random() - 0.5)) {
      try {
        const response = await fetch(`http://${address}/v1/entries`, {
          signal: AbortSignal.timeout(1000),
        });
        const answer = (await response.json()) as EntriesAnswer;
        if (response.ok && answer.entries.length > 0) {
          this.#answer = answer;
          this.#keepUntilMs = performance.now() + answer.ttlMs;
          return answer;
        }
      } catch {
        // The next known entry is asked.
      }
    }
    return { entries: [], ttlMs: 0 };
  }
}
