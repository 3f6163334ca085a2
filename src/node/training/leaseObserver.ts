import { type Clock, sleep } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';

const PREFIX = 'leases/';

export interface LeaseObserverOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Interval between lists, in ms. A list finds changes that a stalled watch has missed. */
  readonly intervalMs: number;
  /** Called for each lease that a list or the watch reports, whether or not it changed. */
  readonly onLease: (name: string, object: PlatformObject) => void;
}

/**
 * Watches all leases, and reads them with one list per interval, so that the number of platform calls of a node does
 * not grow with the number of leases for which it contends.
 */
export class LeaseObserver implements Disposable {
  readonly #options: LeaseObserverOptions;

  readonly #stop = new AbortController();

  constructor(options: LeaseObserverOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { platform, clock, intervalMs, logger } = this.#options;
    const watch = platform.watch(PREFIX, ({ type, object }) => {
      if (type === 'written') this.#notify(object);
    });
    while (!this.#stop.signal.aborted) {
      try {
        for (const object of await platform.list(PREFIX)) this.#notify(object);
      } catch (error) {
        logger.debug('lease-list-failed', { message: String(error) });
      }
      await sleep(clock, intervalMs, this.#stop.signal);
    }
    watch[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  #notify(object: PlatformObject): void {
    if (this.#stop.signal.aborted) return;
    this.#options.onLease(object.key.slice(PREFIX.length), object);
  }
}
