import net from 'node:net';

/**
 * A TCP proxy on loopback between one node and the stand-in of the platform's store. Once armed with a text, the next
 * channel on which the node sends it goes silent for good, without a reset, while other and new channels work.
 */
export class PlatformProxy {
  readonly #server: net.Server;

  readonly #sockets = new Set<net.Socket>();

  #trigger: string | undefined;

  #onSilenced: ((line: string) => void) | undefined;

  constructor(targetPort: number) {
    this.#server = net.createServer((incoming) => {
      const outgoing = net.connect(targetPort, '127.0.0.1');
      let silent = false;
      for (const socket of [incoming, outgoing]) {
        this.#sockets.add(socket);
        socket.on('error', () => {});
      }
      incoming.on('close', () => {
        this.#sockets.delete(incoming);
        outgoing.destroy();
      });
      outgoing.on('close', () => {
        this.#sockets.delete(outgoing);
        if (!silent) incoming.destroy();
      });
      incoming.on('data', (chunk) => {
        if (silent) return;
        if (this.#trigger !== undefined && chunk.includes(this.#trigger)) {
          this.#trigger = undefined;
          silent = true;
          this.#onSilenced?.(chunk.toString('latin1').split('\r\n', 1)[0] ?? '');
          return;
        }
        outgoing.write(chunk);
      });
      outgoing.on('data', (chunk) => {
        if (!silent) incoming.write(chunk);
      });
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return (this.#server.address() as net.AddressInfo).port;
  }

  silenceChannelWith(trigger: string, onSilenced: (line: string) => void): void {
    this.#trigger = trigger;
    this.#onSilenced = onSilenced;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}
