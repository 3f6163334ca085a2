import type { ClientRequest } from 'node:http';
import { messageOf } from './errors.ts';

/**
 * Calls `onEnd` when a request ends, or `signal` is aborted, before its response has begun. After some bytes, such as a
 * switch of protocols that was not asked for, Node emits neither a response nor an error, and does not heed the signal.
 * To be called before a response can arrive, for a request with a listener for responses.
 */
export const onEndWithoutResponse = (
  request: ClientRequest,
  onEnd: (error: Error) => void,
  signal?: AbortSignal,
): void => {
  const abort = () => onEnd(new Error(messageOf(signal?.reason)));
  const end = () => {
    signal?.removeEventListener('abort', abort);
    onEnd(new Error('the connection closed without a response'));
  };
  signal?.addEventListener('abort', abort, { once: true });
  request.once('close', end);
  request.once('response', () => {
    signal?.removeEventListener('abort', abort);
    request.off('close', end);
  });
};
