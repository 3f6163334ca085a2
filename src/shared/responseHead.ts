import type { ClientRequest, IncomingMessage } from 'node:http';
import { onEndWithoutResponse } from './endWithoutResponse.ts';

/** Status codes of final responses (RFC 9110, section 15). Node's parser accepts any three digits. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);

/** Characters that a reason phrase may have, one per byte (RFC 9112, section 4). */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;

const NO_CONTENT = 204;
const RESET_CONTENT = 205;

/**
 * What HTTP does not allow in the head of a final response although Node's parser accepts it; undefined if there is nothing.
 * Such a response says nothing for certain: neither its status nor where its body ends can be relied on.
 */
export const headErrorOf = ({
  statusCode = 0,
  statusMessage = '',
  httpVersion,
  headers,
}: Pick<IncomingMessage, 'statusCode' | 'statusMessage' | 'httpVersion' | 'headers'>):
  string | undefined => {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS) {
    return `its status is ${String(statusCode).padStart(3, '0')}`;
  }
  if (!VERSIONS.has(httpVersion)) return `its version is ${httpVersion}`;
  if (!REASON_PHRASE.test(statusMessage)) return 'its reason phrase has control characters';
  const coding = headers['transfer-encoding'];
  // Node removes only the chunks, and only if they are the last coding; the rest would pass for the body.
  if (coding !== undefined && coding.trim().toLowerCase() !== 'chunked') {
    return 'its transfer coding was not asked for';
  }
  if (coding !== undefined && httpVersion === '1.0') return 'it has chunks in HTTP/1.0';
  const length = headers['content-length'] ?? '0';
  const hasBody = coding !== undefined || Number(length) > 0;
  if (statusCode === NO_CONTENT && hasBody) return 'it has a body with status 204';
  // An empty body in chunks is allowed.
  if (statusCode === RESET_CONTENT && Number(length) > 0) return 'it has a body with status 205';
  return undefined;
};

/**
 * Passes on the response to a request if HTTP allows its head. To be called before a response can arrive.
 *
 * @param onError - called when the request ends, or `signal` is aborted, before its response has begun, and when its head is
 *   not allowed; the connection is closed then
 */
export const receiveResponse = (
  request: ClientRequest,
  onResponse: (response: IncomingMessage) => void,
  onError: (error: Error) => void,
  signal?: AbortSignal,
): void => {
  request.once('response', (response) => {
    const headError = headErrorOf(response);
    if (headError === undefined) {
      onResponse(response);
      return;
    }
    response.on('error', () => {});
    response.destroy();
    onError(new Error(`HTTP does not allow the head of the response: ${headError}`));
  });
  onEndWithoutResponse(request, onError, signal);
};
