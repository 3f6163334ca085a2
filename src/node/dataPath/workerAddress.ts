import { isIPv6 } from 'node:net';

/** Parses `10.0.0.7:8000` or `[::1]:8000` into the options of `net.connect` and `http.request`. */
export const parseWorkerAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
};

/** Joins host and port as URLs and the `host` header require, with IPv6 addresses in brackets. */
export const joinAddress = (host: string, port: number): string =>
  `${isIPv6(host) ? `[${host}]` : host}:${port}`;
