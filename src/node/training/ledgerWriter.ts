import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { LedgerChange, LedgerWrite } from '../decisions/sampleLedger.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import type { Lease } from './leaseKeeper.ts';
import { WakeUp } from '../../shared/wakeUp.ts';

/** The part of the ledger that is written. */
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
  /** Shortest time between the starts of two writes, in ms; samples that complete meanwhile share a write. */
  readonly minIntervalMs: number;
  readonly onConfirmed: (change: LedgerChange) => void;
  /** Another owner has written the ledger. */
  readonly onLost: () => void;
}

/** While the lease has lapsed or the platform gives no answer: first and longest time between attempts, in ms. */
const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 1000;

/** Writes the ledger, one write at a time. */
export class LedgerWriter {
  readonly #options: LedgerWriterOptions;

  readonly #wakeUp: WakeUp;

  #stopped = false;

  #delayMs = FIRST_DELAY_MS;

  constructor(options: LedgerWriterOptions) {
    this.#options = options;
    this.#wakeUp = new WakeUp(options.clock);
  }

  /** Tells the writer that the ledger may have something to write. */
  notify(): void {
    this.#wakeUp.notify();
  }

  stop(): void {
    this.#stopped = true;
    this.#wakeUp.notify();
  }

  async run(): Promise<void> {
    const { ledger, lease, clock, minIntervalMs } = this.#options;
    while (!this.#stopped) {
      const write = lease.isHeld() ? ledger.nextWrite() : undefined;
      if (write) {
        const startMs = clock.monotonicMs();
        await this.#send(write);
        const restMs = minIntervalMs - (clock.monotonicMs() - startMs);
        if (restMs > 0 && !this.#stopped) await this.#pause(restMs);
      } else if (lease.isHeld()) {
        await this.#wakeUp.wait();
      } else {
        await this.#wakeUp.wait(FIRST_DELAY_MS);
      }
    }
  }

  async #send(write: LedgerWrite): Promise<void> {
    const { platform, key } = this.#options;
    const { ifVersion, operationId } = write;
    const result = await platform.write(key, write.value, { ifVersion, operationId });
    if (this.#stopped) return;
    if (result.status === 'written') this.#confirmed(result.version);
    else if (result.status === 'unavailable') await this.#backOff();
    else await this.#readBack();
  }

  /** A conflict may be with the writer's own earlier attempt whose answer was lost. */
  async #readBack(): Promise<void> {
    const { platform, key, ledger, onLost, logger } = this.#options;
    try {
      const object = await platform.read(key);
      if (this.#stopped) return;
      const result = ledger.resolve(object);
      if (result === 'confirmed' && object) this.#confirmed(object.version);
      else if (result === 'lost') onLost();
      else await this.#backOff();
    } catch (error) {
      logger.debug('ledger-read-failed', { key, message: String(error) });
      await this.#backOff();
    }
  }

  #confirmed(version: number): void {
    this.#delayMs = FIRST_DELAY_MS;
    this.#options.onConfirmed(this.#options.ledger.confirm(version));
  }

  async #backOff(): Promise<void> {
    const delayMs = this.#delayMs * (0.5 + this.#options.random() / 2);
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2);
    await this.#pause(delayMs);
  }

  /** Waits the whole time, whatever is notified meanwhile. */
  async #pause(delayMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.monotonicMs() + delayMs;
    for (let restMs = delayMs; restMs > 0 && !this.#stopped; restMs = endMs - clock.monotonicMs()) {
      await this.#wakeUp.wait(restMs);
    }
  }
}
