import { LeaseState, type LeaseStateOptions } from '../decisions/lease.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import { WakeUp } from '../../shared/wakeUp.ts';

/** A lease as its users see it. */
export interface Lease {
  /** Fencing number of the current hold; 0 when this node does not hold the lease. */
  readonly fencing: number;
  /** Whether this node may act as the holder now. Check after every wait and directly before every send. */
  isHeld(): boolean;
  /** Time in ms for which this node may still act; 0 when it may not. */
  remainingMs(): number;
  /** The holder as last seen; undefined when there is none. */
  holder(): LeaseHolder | undefined;
}

export interface LeaseHolder {
  readonly name: string;
  /** Peer address. */
  readonly address: string;
  readonly fencing: number;
}

export interface LeaseKeeperOptions extends LeaseStateOptions {
  /** Such as `job/draft`. */
  readonly name: string;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  /** Told of each new hold, with its fencing number. */
  readonly onAcquired: (lease: Lease) => void;
  /** Told that another node has taken the lease, or that it was handed over. */
  readonly onLost: () => void;
}

/** Key of the object that holds a lease. */
export const leaseKey = (name: string): string => `leases/${name}`;

/** Contends for one lease, renews it and hands it over. */
export class LeaseKeeper implements Lease {
  readonly #options: LeaseKeeperOptions;

  readonly #state: LeaseState;

  readonly #wakeUp: WakeUp;

  #running: Promise<void> | undefined;

  #stopped = false;

  /** Fencing number that the listeners were last told; 0: lost. */
  #told = 0;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
    this.#state = new LeaseState(options);
    this.#wakeUp = new WakeUp(options.clock);
  }

  get fencing(): number {
    return this.#state.fencing;
  }

  isHeld(): boolean {
    return !this.#stopped && this.#state.isHeld();
  }

  remainingMs(): number {
    return this.#stopped ? 0 : this.#state.remainingMs();
  }

  holder(): LeaseHolder | undefined {
    const { current } = this.#state;
    if (!current?.holder) return undefined;
    return { name: current.holder, address: current.address, fencing: current.fencing };
  }

  /** Contends for the lease and renews it until `stop` or the end of a hand-over. */
  run(): Promise<void> {
    this.#running ??= this.#loop();
    return this.#running;
  }

  async #loop(): Promise<void> {
    while (!this.#stopped && !this.#state.isReleaseComplete) {
      await this.#advance();
      this.#tell();
    }
  }

  /** Takes note of the lease as a watch or a list shows it. */
  observe(object: PlatformObject): void {
    this.#state.observe(object);
    this.#tell();
    this.#wakeUp.notify();
  }

  /** Stops acting as holder at once, and writes the object with an empty holder so that a successor need not wait. */
  handOver(): void {
    this.#state.release();
    this.#tell();
    this.#wakeUp.notify();
  }

  /** Stops without a write. The lease ends with its ttl. */
  stop(): void {
    this.#stopped = true;
    this.#wakeUp.notify();
  }

  async #advance(): Promise<void> {
    const { platform, name } = this.#options;
    const step = this.#state.next();
    if (step.kind === 'wait') {
      await this.#wakeUp.wait(step.delayMs);
      return;
    }
    this.#state.recordSend(step);
    if (step.kind === 'read') {
      try {
        this.#state.observe(await platform.read(leaseKey(name)));
      } catch (error) {
        this.#options.logger.debug('lease-read-failed', { lease: name, message: String(error) });
      }
      return;
    }
    const { value, ifVersion, operationId } = step;
    const result = await platform.write(leaseKey(name), value, { ifVersion, operationId });
    this.#state.recordWriteResult(step, result);
  }

  #tell(): void {
    const { logger, name, onAcquired, onLost } = this.#options;
    const fencing = this.#state.released ? 0 : this.#state.fencing;
    if (fencing === this.#told) return;
    if (this.#told > 0) {
      logger.warn('lease-lost', { lease: name, fencing: this.#told });
      onLost();
    }
    this.#told = fencing;
    if (fencing === 0) return;
    logger.info('lease-acquired', { lease: name, fencing });
    onAcquired(this);
  }
}
