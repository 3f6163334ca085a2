import type { RequestHandler } from '../dataPath/httpServer.ts';
import { pathOf } from '../dataPath/httpServer.ts';
import { requestError } from '../dataPath/problem.ts';
import type { Entry } from '../decisions/entrySelection.ts';

/** Path at which callers request the entries to use. */
export const ENTRIES_PATH = '/v1/entries';

/** Prefix for idempotency keys, which a caller may use until it expires. */
export interface KeyPrefix {
  readonly prefix: string;
  /** By the node's wall clock, in ms since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** Response body of `GET /v1/entries`. */
export interface EntriesResponse {
  readonly entries: readonly Entry[];
  /** How long the response may be cached, in ms. */
  readonly ttlMs: number;
  readonly idempotencyKeyPrefix?: string;
  readonly keyExpiresAtMs?: number;
}

export interface EntriesHandlerOptions {
  readonly entries: () => readonly Entry[];
  readonly ttlMs: number;
  /** Issues a new key prefix; undefined while the node cannot be the home of any key. */
  readonly issueKeyPrefix: () => KeyPrefix | undefined;
}

/** Creates the request handler for `GET /v1/entries`. */
export const createEntriesHandler =
  ({ entries, ttlMs, issueKeyPrefix }: EntriesHandlerOptions): RequestHandler =>
  (request, response) => {
    if (pathOf(request) !== ENTRIES_PATH || request.method !== 'GET') return false;
    const available = entries();
    if (available.length === 0) {
      throw requestError('this node knows of no entry that accepts new work', {
        outcome: 'not-run',
        statusCode: 503,
        code: 'no-entries',
        retryAfterMs: 1000,
      });
    }
    const keyPrefix = issueKeyPrefix();
    const body: EntriesResponse = {
      entries: available,
      ttlMs,
      idempotencyKeyPrefix: keyPrefix?.prefix,
      keyExpiresAtMs: keyPrefix?.expiresAtMs,
    };
    response.setHeader('content-type', 'application/json');
    response.setHeader('cache-control', `max-age=${Math.floor(ttlMs / 1000)}`);
    response.end(JSON.stringify(body));
    return true;
  };
