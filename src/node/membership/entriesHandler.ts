import type { RequestHandler } from '../dataPath/httpServer.ts';
import { pathOf } from '../dataPath/httpServer.ts';
import { requestError } from '../dataPath/problem.ts';
import type { Entry } from '../decisions/entriesAnswer.ts';

/** Path under which callers ask which entries to use. */
export const ENTRIES_PATH = '/v1/entries';

/** Prefix of idempotency keys that a caller may use until the expiry. */
export interface KeyPrefix {
  readonly prefix: string;
  /** Wall clock of the node, in ms since 1970-01-01 UTC. */
  readonly expiresAtMs: number;
}

/** Answer of `GET /v1/entries`. */
export interface EntriesAnswer {
  readonly entries: readonly Entry[];
  /** How long the answer may be kept, in ms. */
  readonly ttlMs: number;
  readonly idempotencyKeyPrefix?: string;
  readonly keyExpiresAtMs?: number;
}

export interface EntriesHandlerOptions {
  readonly entries: () => readonly Entry[];
  readonly ttlMs: number;
  /** A new key prefix; undefined when the node can be no key's home now. */
  readonly issueKeyPrefix: () => KeyPrefix | undefined;
}

/** Answers `GET /v1/entries`. */
export const createEntriesHandler =
  ({ entries, ttlMs, issueKeyPrefix }: EntriesHandlerOptions): RequestHandler =>
  (request, response) => {
    if (pathOf(request) !== ENTRIES_PATH || request.method !== 'GET') return false;
    const available = entries();
    if (available.length === 0) {
      throw requestError('no entry takes new work, as far as this node knows', {
        outcome: 'not-run',
        statusCode: 503,
        code: 'no-entries',
        retryAfterMs: 1000,
      });
    }
    const keyPrefix = issueKeyPrefix();
    const answer: EntriesAnswer = {
      entries: available,
      ttlMs,
      idempotencyKeyPrefix: keyPrefix?.prefix,
      keyExpiresAtMs: keyPrefix?.expiresAtMs,
    };
    response.setHeader('content-type', 'application/json');
    response.setHeader('cache-control', `max-age=${Math.floor(ttlMs / 1000)}`);
    response.end(JSON.stringify(answer));
    return true;
  };
