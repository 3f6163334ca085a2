import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
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
]);

/** The headers that are passed on to the next hop. */
export const forwardHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
  const named = new Set(
    String(headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_BY_HOP.has(name) && !named.has(name)),
  );
};
