import net from 'node:net';

/** Splits `10.0.0.7:8000` or `[fd00::7]:8000` into IP number and port. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
};

/** Whether an address accepts a TCP connection within `timeoutMs`. */
export const acceptsConnection = (address: string, timeoutMs: number): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = net.connect({ ...splitAddress(address), timeout: timeoutMs });
    const finish = (accepted: boolean) => {
      socket.destroy();
      resolve(accepted);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
  });
