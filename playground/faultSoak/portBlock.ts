import { once } from 'node:events';
import net from 'node:net';

/**
 * Range of the ports that nodes listen on. It lies below the range that the kernel uses for outgoing connections, so that
 * the ports of a node that is down stay free.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Number of ports of a block, more than the nodes and workers of a deployment need. */
const BLOCK_SIZE = 50;

/** Listens on a port of the loopback interface. Returns undefined if the port is in use. */
const tryListen = async (port: number): Promise<net.Server | undefined> => {
  const server = net.createServer();
  server.listen(port, '127.0.0.1');
  try {
    await once(server, 'listening');
    return server;
  } catch {
    return undefined;
  }
};

const close = async (server: net.Server): Promise<void> => {
  server.close();
  await once(server, 'close');
};

/**
 * Ports that belong to one deployment, also while its nodes do not listen on them. Deployments of other processes are kept
 * out by a socket that listens on the first port of the block.
 */
export class PortBlock implements AsyncDisposable {
  #guard: net.Server | undefined;

  #firstPort = 0;

  #taken = 0;

  /** Reserves a block that no other deployment on this machine uses. */
  async reserve(): Promise<void> {
    while (this.#guard === undefined) {
      const block = Math.floor((Math.random() * PORT_COUNT) / BLOCK_SIZE);
      this.#firstPort = FIRST_PORT + block * BLOCK_SIZE;
      this.#guard = await tryListen(this.#firstPort);
    }
  }

  /**
   * Takes free ports of the block.
   *
   * @throws Error if the block has not enough ports left
   */
  async take(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      this.#taken += 1;
      if (this.#taken >= BLOCK_SIZE) throw new Error('no free port left in the block');
      const port = this.#firstPort + this.#taken;
      const server = await tryListen(port);
      if (server === undefined) continue;
      await close(server);
      ports.push(port);
    }
    return ports;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#guard !== undefined) await close(this.#guard);
  }
}
