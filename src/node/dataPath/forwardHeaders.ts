import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { OUTCOME_HEADER } from '../constants.ts';

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that this node sets or handles itself. */
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
  // Node's HTTP server has already responded to it with `100 Continue`.
  'expect',
  // Only nodes may report the outcome of a request; a worker or caller must not set it.
  OUTCOME_HEADER,
]);

/** Names in the `Connection` header, such as headers that concern only this hop. */
export const connectionOptionsOf = ({ connection }: IncomingHttpHeaders): ReadonlySet<string> =>
  new Set(
    String(connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase()),
  );

/** Removes the headers that must not be forwarded to the next hop. */
export const forwardHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
  const connectionHeaders = connectionOptionsOf(headers);
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name]) => !NOT_FORWARDED.has(name) && !connectionHeaders.has(name),
    ),
  );
};

/** Headers to forward from another node's response. The outcome header is kept, because a node set it. */
export const forwardNodeHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
  const outcome = headers[OUTCOME_HEADER];
  const forwarded = forwardHeaders(headers);
  return outcome === undefined ? forwarded : { ...forwarded, [OUTCOME_HEADER]: outcome };
};
