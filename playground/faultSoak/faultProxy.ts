import { once } from 'node:events';
import net from 'node:net';

/** Fault that a proxy applies to the connections through it. `one-way` drops what the target sends. */
export type ProxyFault = 'none' | 'delay' | 'silent' | 'one-way' | 'reset';

/** Delay of each chunk under the fault `delay`, in ms. */
const DELAY_MS = 150;

/** A TCP proxy on loopback that can delay, silence, cut in one direction or reset its open connections. */
export class FaultProxy implements AsyncDisposable {
  readonly #server: net.Server;

  readonly #sockets = new Set<net.Socket>();

  #fault: ProxyFault = 'none';

  /** @param targetPort - port on 127.0.0.1 */
  constructor(targetPort: number) {
    this.#server = net.createServer((incoming) => {
      const outgoing = net.connect(targetPort, '127.0.0.1');
      this.#forward(incoming, outgoing, 'forth');
      this.#forward(outgoing, incoming, 'back');
    });
  }

  /** @param port - default: any free one */
  async listen(port = 0): Promise<number> {
    this.#server.listen(port, '127.0.0.1');
    await once(this.#server, 'listening');
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Refuses connections until `listen` is called again, and resets the open ones, as the end of a process does. */
  refuse(): void {
    this.#server.close();
    this.#resetConnections();
  }

  /**
   * Sets the current fault. The end of `silent` and `one-way` resets the open connections, because the bytes dropped
   * meanwhile are lost.
   */
  setFault(fault: ProxyFault): void {
    const wasSilent = this.#fault === 'silent' || this.#fault === 'one-way';
    this.#fault = fault;
    if (fault !== 'reset' && !(wasSilent && fault === 'none')) return;
    this.#resetConnections();
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #forward(from: net.Socket, to: net.Socket, direction: 'forth' | 'back'): void {
    this.#sockets.add(from);
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    from.on('end', () => to.end());
    from.on('data', (chunk) => {
      if (this.#fault === 'silent') return;
      if (this.#fault === 'one-way' && direction === 'back') return;
      if (this.#fault !== 'delay') to.write(chunk);
      else setTimeout(() => to.writable && to.write(chunk), DELAY_MS);
    });
  }
}
