import { once } from 'node:events';
import type http from 'node:http';
import net, { type AddressInfo } from 'node:net';

export const HOST = '127.0.0.1';

export const sleepMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Listens on a free port of the loopback interface. */
export const listenOn = async (server: http.Server | net.Server): Promise<number> => {
  server.listen(0, HOST);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
};

/** Ports that are free now. */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(servers.map(listenOn));
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
};
