import net from 'node:net';
import type { Clock } from '../../shared/clock.ts';
import type { PeerAddress } from '../membership/peerClients.ts';

/** Time between attempts to connect while the holder does not answer, in ms; heartbeats decide about a silent one. */
const RETRY_MS = 500;

export interface HolderWatchOptions extends PeerAddress {
  readonly clock: Clock;
  /** The holder's VM refuses connections: its process has ended. */
  readonly onRefused: () => void;
}

/**
 * Keeps a connection to a dispatcher. When its process ends, the connection closes and a new one is refused, which is
 * known seconds before heartbeats show it.
 */
export class HolderWatch implements Disposable {
  readonly #options: HolderWatchOptions;

  #socket: net.Socket | undefined;

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: HolderWatchOptions) {
    this.#options = options;
    this.#connect();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer?.[Symbol.dispose]();
    this.#socket?.destroy();
  }

  #connect(): void {
    const { host, peerPort, clock, onRefused } = this.#options;
    let connected = false;
    const socket = net.connect({ host, port: peerPort });
    this.#socket = socket;
    socket.once('connect', () => {
      connected = true;
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (!this.#disposed && error.code === 'ECONNREFUSED') onRefused();
    });
    socket.once('close', () => {
      if (this.#disposed) return;
      // A connection that was open is tried again at once: the holder may have closed an idle one.
      this.#timer = clock.schedule(connected ? 0 : RETRY_MS, () => this.#connect());
    });
    socket.resume();
  }
}
