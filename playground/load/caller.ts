import { randomUUID } from 'node:crypto';
import { expectedText } from '../standIns/engine.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** A kind of request that a caller sends at a fixed rate. */
export interface RequestKind {
  readonly name: string;
  /** Value of the `x-caller` header. */
  readonly caller: string;
  readonly kind: 'completion' | 'service';
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Requests per second. */
  readonly ratePerSecond: number;
}

/** Final result of one request. */
export type CallResult = 'answered' | 'unknown' | 'not-run' | 'wrong-answer';

export interface CallReport {
  readonly kind: string;
  readonly runId: string;
  readonly result: CallResult;
  /** Reading of the load process's monotonic clock. */
  readonly startMs: number;
  readonly latencyMs: number;
  readonly detail?: string;
}

interface EntriesResponse {
  readonly entries: readonly { readonly address: string }[];
  readonly ttlMs: number;
  readonly idempotencyKeyPrefix?: string;
}

/** Time within which a caller retries refused requests, in ms. */
const CALL_DEADLINE_MS = 20_000;
const RETRY_PAUSE_MS = 100;
const MAX_TOKENS = 12;

/** Extracts the text of a completion from a streamed or plain response body. */
const completionText = (body: string): string => {
  const firstChoiceText = (json: string): string =>
    (JSON.parse(json) as { choices: { text: string }[] }).choices[0]?.text ?? '';
  if (!body.startsWith('data:')) return firstChoiceText(body);
  return body
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => firstChoiceText(line.slice('data: '.length)))
    .join('');
};

/**
 * A caller that follows the callers' interface: fetches the entry addresses, caches them for their TTL, and retries at
 * another entry after a refusal.
 */
export class Caller {
  readonly #bootstrapAddresses: string[];

  #cachedEntries: EntriesResponse | undefined;

  #cachedUntilMs = 0;

  #attemptCount = 0;

  /** @param bootstrapAddresses - entry nodes from which to fetch the current entries */
  constructor(bootstrapAddresses: readonly string[]) {
    this.#bootstrapAddresses = [...bootstrapAddresses];
  }

  /** Sends one request, with retries where they are allowed, and reports its result. */
  async call(kind: RequestKind): Promise<CallReport> {
    const runId = randomUUID();
    const startMs = performance.now();
    let result: CallResult = 'not-run';
    let detail: string | undefined;
    let mayRepeat = true;
    while (mayRepeat && performance.now() - startMs < CALL_DEADLINE_MS) {
      const attempt = await this.#attempt(kind, runId);
      ({ result, detail } = attempt);
      const isFinal = result === 'answered' || result === 'wrong-answer';
      // A refused key never runs, so the request may be sent under a new key. With an unknown result it may have run.
      mayRepeat = !isFinal && (kind.idempotent || result === 'not-run');
      if (mayRepeat) await sleepMs(RETRY_PAUSE_MS);
    }
    const latencyMs = performance.now() - startMs;
    return { kind: kind.name, runId, result, detail, startMs, latencyMs };
  }

  async #attempt(
    kind: RequestKind,
    runId: string,
  ): Promise<{ result: CallResult; detail?: string }> {
    const entries = await this.#getEntries();
    this.#attemptCount += 1;
    const entry = entries.entries[this.#attemptCount % Math.max(1, entries.entries.length)];
    if (entry === undefined) return { result: 'not-run', detail: 'no entries' };
    const headers: Record<string, string> = { 'x-caller': kind.caller, 'x-run-id': runId };
    if (!kind.idempotent && entries.idempotencyKeyPrefix) {
      headers['idempotency-key'] = `${entries.idempotencyKeyPrefix}${randomUUID()}`;
    }
    const seed = this.#attemptCount;
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
      const isOwnResponse =
        kind.kind === 'completion'
          ? completionText(text) === expectedText(runId, seed, MAX_TOKENS)
          : (JSON.parse(text) as { runId: string }).runId === runId;
      return isOwnResponse ? { result: 'answered' } : { result: 'wrong-answer', detail: text };
    } catch (error) {
      this.#cachedEntries = undefined;
      // On a refused connection nothing was sent. On any other error the node may already have accepted the request.
      const { code } = ((error as Error).cause ?? {}) as { code?: string };
      return { result: code === 'ECONNREFUSED' ? 'not-run' : 'unknown', detail: String(error) };
    }
  }

  async #getEntries(): Promise<EntriesResponse> {
    if (this.#cachedEntries && performance.now() < this.#cachedUntilMs) return this.#cachedEntries;
    for (const address of [...this.#bootstrapAddresses].sort(() => Math.random() - 0.5)) {
      try {
        const response = await fetch(`http://${address}/v1/entries`, {
          signal: AbortSignal.timeout(1000),
        });
        const entries = (await response.json()) as EntriesResponse;
        if (response.ok && entries.entries.length > 0) {
          this.#cachedEntries = entries;
          this.#cachedUntilMs = performance.now() + entries.ttlMs;
          return entries;
        }
      } catch {
        // Tries the next bootstrap address.
      }
    }
    return { entries: [], ttlMs: 0 };
  }
}
