import net from 'node:net';
import type { Clock } from '../../shared/clock.ts';
import type { PeerAddress } from '../membership/peerClients.ts';

/** Delay between connection attempts, in ms. A holder that does not respond at all is detected by heartbeats. */
const RECONNECT_DELAY_MS = 500;

export interface HolderFailureDetectorOptions extends PeerAddress {
  readonly clock: Clock;
  /** Called when the holder's VM refuses a connection, which means that the holder's process has ended. */
  readonly onRefused: () => void;
}

/**
 * Detects the end of a holder's process by keeping a connection to it open. When the process ends, the connection
 * closes and a new one is refused, seconds before missing heartbeats show it.
 */
export class HolderFailureDetector implements Disposable {
  readonly #options: HolderFailureDetectorOptions;

  #socket: net.Socket | undefined;

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: HolderFailureDetectorOptions) {
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
      // Reconnects immediately after an established connection closes, because the holder may only have closed it as
      // idle.
      this.#timer = clock.schedule(connected ? 0 : RECONNECT_DELAY_MS, () => this.#connect());
    });
    socket.resume();
  }
}
