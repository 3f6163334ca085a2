import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { LedgerChange, LedgerWrite } from '../decisions/sampleLedger.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import type { Lease } from './leaseManager.ts';
import { Notifier } from '../../shared/notifier.ts';

/** The operations of the ledger that the writer needs. */
export interface WritableLedger {
  nextWrite(): LedgerWrite | undefined;
  confirm(version: number): LedgerChange;
  resolve(object: PlatformObject | undefined): 'confirmed' | 'retry' | 'lost';
}

export interface LedgerWriterOptions {
  readonly key: string;
  readonly ledger: WritableLedger;
  readonly lease: Lease;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Minimum interval between the starts of two writes, in ms. Samples that complete meanwhile share a write. */
  readonly minIntervalMs: number;
  readonly onConfirmed: (change: LedgerChange) => void;
  /** Called when another owner has written the ledger. */
  readonly onLost: () => void;
}

/** Initial and maximum delay between attempts while the lease is not held or the platform does not respond, in ms. */
const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 1000;

/** Writes the ledger to the platform, one write at a time. */
export class LedgerWriter {
  readonly #options: LedgerWriterOptions;

  readonly #notifier: Notifier;

  #stopped = false;

  #delayMs = FIRST_DELAY_MS;

  constructor(options: LedgerWriterOptions) {
    this.#options = options;
    this.#notifier = new Notifier(options.clock);
  }

  /** Makes the writer check whether the ledger has changes to write. */
  notify(): void {
    this.#notifier.notify();
  }

  stop(): void {
    this.#stopped = true;
    this.#notifier.notify();
  }

  async run(): Promise<void> {
    const { ledger, lease, clock, minIntervalMs } = this.#options;
    while (!this.#stopped) {
      const write = lease.isHeld() ? ledger.nextWrite() : undefined;
      if (write) {
        const startMs = clock.monotonicMs();
        await this.#send(write);
        const remainingMs = minIntervalMs - (clock.monotonicMs() - startMs);
        if (remainingMs > 0 && !this.#stopped) await this.#pause(remainingMs);
      } else if (lease.isHeld()) {
        await this.#notifier.wait();
      } else {
        await this.#notifier.wait(FIRST_DELAY_MS);
      }
    }
  }

  async #send(write: LedgerWrite): Promise<void> {
    const { platform, key } = this.#options;
    const { ifVersion, operationId } = write;
    const result = await platform.write(key, write.value, { ifVersion, operationId });
    if (this.#stopped) return;
    if (result.status === 'written') this.#handleConfirmed(result.version);
    else if (result.status === 'unavailable') await this.#backOff();
    else await this.#readBack();
  }

  /** Resolves a write conflict, which may be with an earlier attempt of this writer whose response was lost. */
  async #readBack(): Promise<void> {
    const { platform, key, ledger, onLost, logger } = this.#options;
    try {
      const object = await platform.read(key);
      if (this.#stopped) return;
      const result = ledger.resolve(object);
      if (result === 'confirmed' && object) this.#handleConfirmed(object.version);
      else if (result === 'lost') onLost();
      else await this.#backOff();
    } catch (error) {
      logger.debug('ledger-read-failed', { key, message: String(error) });
      await this.#backOff();
    }
  }

  #handleConfirmed(version: number): void {
    this.#delayMs = FIRST_DELAY_MS;
    this.#options.onConfirmed(this.#options.ledger.confirm(version));
  }

  async #backOff(): Promise<void> {
    const delayMs = this.#delayMs * (0.5 + this.#options.random() / 2);
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2);
    await this.#pause(delayMs);
  }

  /** Waits for the full delay, regardless of notifications. */
  async #pause(delayMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.monotonicMs() + delayMs;
    for (
      let remainingMs = delayMs;
      remainingMs > 0 && !this.#stopped;
      remainingMs = endMs - clock.monotonicMs()
    ) {
      await this.#notifier.wait(remainingMs);
    }
  }
}
