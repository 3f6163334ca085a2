import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { OUTCOME_HEADER } from '../constants.ts';

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or to this node, and are not passed on. */
const NOT_FORWARDED = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'proxy-connection',
  'host',
  // The node has answered it itself when it began to read the body.
  'expect',
  // Only the system says what became of a request.
  OUTCOME_HEADER,
]);

/** The headers that are passed on to the next hop. */
export const forwardHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
  const connectionHeaders = new Set(
    String(headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name]) => !NOT_FORWARDED.has(name) && !connectionHeaders.has(name),
    ),
  );
};

/** The headers of another node's answer. Its outcome is passed on as well, since a node and no worker said it. */
export const relayNodeHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
  const outcome = headers[OUTCOME_HEADER];
  const forwarded = forwardHeaders(headers);
  return outcome === undefined ? forwarded : { ...forwarded, [OUTCOME_HEADER]: outcome };
};
