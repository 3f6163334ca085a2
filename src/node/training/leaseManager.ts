import { LeaseState, type LeaseStateOptions } from '../decisions/lease.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import { Notifier } from '../../shared/notifier.ts';

/** Read-only view of a lease. */
export interface Lease {
  /** Fencing token of this node's current term; 0 when this node does not hold the lease. */
  readonly fencing: number;
  /** Whether this node may act as the holder now. Must be checked after every await and directly before every send. */
  isHeld(): boolean;
  /** Remaining time in ms for which this node may act as the holder; 0 when it may not. */
  remainingMs(): number;
  /** The holder as last observed; undefined when there is none. */
  holder(): LeaseHolder | undefined;
}

export interface LeaseHolder {
  readonly name: string;
  /** Peer address. */
  readonly address: string;
  readonly fencing: number;
}

export interface LeaseManagerOptions extends LeaseStateOptions {
  /** Name of the lease, such as `job/draft`. */
  readonly name: string;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  /** Called when this node has acquired the lease; `lease.fencing` is the fencing token of the new term. */
  readonly onAcquired: (lease: Lease) => void;
  /** Called when another node has acquired the lease, or when this node has released it. */
  readonly onLost: () => void;
}

/** Platform key of the object that stores a lease. */
const LEASE = { kind: 'lease' } as const;

export const leaseKey = (name: string): string => `leases/${name}`;

/** Contends for one lease, renews it and releases it. */
export class LeaseManager implements Lease {
  readonly #options: LeaseManagerOptions;

  readonly #state: LeaseState;

  readonly #notifier: Notifier;

  #running: Promise<void> | undefined;

  #stopped = false;

  /** Fencing token that was last reported to the listeners; 0 when the lease was last reported as not held. */
  #reportedFencing = 0;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#state = new LeaseState(options);
    this.#notifier = new Notifier(options.clock);
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

  /** Contends for the lease and renews it until `stop` is called or a release is complete. */
  run(): Promise<void> {
    this.#running ??= this.#loop();
    return this.#running;
  }

  async #loop(): Promise<void> {
    while (!this.#stopped && !this.#state.isReleaseComplete) {
      await this.#advance();
      this.#notifyListeners();
    }
  }

  /** Updates the state with the lease as reported by a watch or a list. */
  observe(object: PlatformObject): void {
    this.#state.observe(object);
    this.#notifyListeners();
    this.#notifier.notify();
  }

  /** Stops acting as the holder immediately and writes an empty holder, so that a successor need not wait. */
  release(): void {
    this.#state.release();
    this.#notifyListeners();
    this.#notifier.notify();
  }

  /** Stops without releasing the lease, which remains until its TTL ends. */
  stop(): void {
    this.#stopped = true;
    this.#notifier.notify();
  }

  async #advance(): Promise<void> {
    const { platform, name } = this.#options;
    const step = this.#state.next();
    if (step.kind === 'wait') {
      await this.#notifier.wait(step.delayMs);
      return;
    }
    this.#state.recordSend(step);
    if (step.kind === 'read') {
      try {
        this.#state.observe(await platform.read(leaseKey(name), { priority: LEASE }));
      } catch (error) {
        this.#options.logger.debug('lease-read-failed', { lease: name, message: String(error) });
      }
      return;
    }
    const { value, ifVersion, operationId } = step;
    const result = await platform.write(leaseKey(name), value, {
      ...{ ifVersion, operationId, priority: LEASE },
    });
    this.#state.recordWriteResult(step, result);
  }

  #notifyListeners(): void {
    const { logger, name, onAcquired, onLost } = this.#options;
    const fencing = this.#state.released ? 0 : this.#state.fencing;
    if (fencing === this.#reportedFencing) return;
    if (this.#reportedFencing > 0) {
      logger.warn('lease-lost', { lease: name, fencing: this.#reportedFencing });
      onLost();
    }
    this.#reportedFencing = fencing;
    if (fencing === 0) return;
    logger.info('lease-acquired', { lease: name, fencing });
    onAcquired(this);
  }
}
