import net from 'node:net';

/** What a proxy does to the connections through it. */
export type ProxyFault = 'none' | 'delay' | 'silent' | 'one-way' | 'reset';

/** Added to each chunk by the fault `delay`, in ms. */
const DELAY_MS = 150;

/** A loopback proxy whose connections can be delayed, silenced, cut one way or reset while they are open. */
export class FaultProxy implements AsyncDisposable {
  readonly #server: net.Server;

  readonly #sockets = new Set<net.Socket>();

  #fault: ProxyFault = 'none';

  /** @param target - port on 127.0.0.1 */
  constructor(target: number) {
    this.#server = net.createServer((incoming) => {
      const outgoing = net.connect(target, '127.0.0.1');
      this.#pass(incoming, outgoing, 'forth');
      this.#pass(outgoing, incoming, 'back');
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Bytes that a silent proxy holds back are lost when the fault ends: the connections are closed. */
  set(fault: ProxyFault): void {
    const wasSilent = this.#fault === 'silent' || this.#fault === 'one-way';
    this.#fault = fault;
    if (fault !== 'reset' && !(wasSilent && fault === 'none')) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #pass(from: net.Socket, to: net.Socket, direction: 'forth' | 'back'): void {
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
