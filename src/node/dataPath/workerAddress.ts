import { isIPv6 } from 'node:net';

/** Splits `10.0.0.7:8000` or `[::1]:8000` into the options that `net.connect` and `http.request` take. */
export const workerAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
};

/** Joins host and port the way URLs and the `host` header need them. */
export const joinAddress = (host: string, port: number): string =>
  `${isIPv6(host) ? `[${host}]` : host}:${port}`;
