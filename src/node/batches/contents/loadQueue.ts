import type { BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../../shared/clock.ts';
import type { Logger } from '../../observability/logger.ts';
import { LOAD_ROOM_CHECK_INTERVAL_MS } from '../constants.ts';
import { batchRankOf } from '../waitingItem.ts';
import type { ContentHolder, ContentMemory } from './contentMemory.ts';
import { estimatedItemsBytes } from './storedPart.ts';

export interface LoadQueueOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: ContentMemory;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
  /** Number of batches whose items the dispatcher has in memory. */
  readonly loadedCount: () => number;
}

/**
 * Lets the batches of a dispatcher be loaded as far as their items fit into the memory. Addresses a load of many small items, which are
 * needed until their batch is complete: those of later batches stay at the platform meanwhile. One batch is always loaded.
 */
export class LoadQueue implements ContentHolder {
  readonly cachedBytes = 0;

  readonly #options: LoadQueueOptions;

  /** Batches that wait, in the order in which they are loaded. */
  #waiting: BatchRecord[] = [];

  /** Estimates of the batches that are being loaded, in bytes. */
  readonly #loading = new Map<BatchRecord, number>();

  constructor(options: LoadQueueOptions) {
    this.#options = options;
  }

  get neededBytes(): number {
    return [...this.#loading.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Whether a batch waits for room, so that further ones would wait, too. */
  get isFull(): boolean {
    return this.#waiting.length > 0;
  }

  /**
   * Waits until a batch may be loaded.
   *
   * @returns to be disposed of when the batch is loaded or no longer to be loaded; undefined when `signal` is aborted first
   */
  async enter(record: BatchRecord, signal: AbortSignal): Promise<Disposable | undefined> {
    const { clock, memory, logger, maxValueBytes } = this.#options;
    const estimatedBytes = estimatedItemsBytes(record, maxValueBytes);
    const fields = { batch: record.id, estimatedBytes, items: record.itemCount };
    if (this.isFull || !this.#hasRoom(estimatedBytes)) {
      const waited = new Stopwatch(clock);
      const { neededBytes, roomBytes } = memory;
      logger.info('batch-load-waits', { ...fields, neededBytes, roomBytes });
      this.#waiting = [...this.#waiting, record].sort(
        (left, right) => batchRankOf(left) - batchRankOf(right),
      );
      while (!signal.aborted && !(this.#waiting[0] === record && this.#hasRoom(estimatedBytes))) {
        await sleep(clock, LOAD_ROOM_CHECK_INTERVAL_MS, signal);
      }
      this.#waiting = this.#waiting.filter((other) => other !== record);
      logger.info('batch-load-admitted', { ...fields, waitedMs: Math.round(waited.elapsedMs()) });
    }
    if (signal.aborted) return undefined;
    this.#loading.set(record, estimatedBytes);
    return { [Symbol.dispose]: () => this.#loading.delete(record) };
  }

  #hasRoom(bytes: number): boolean {
    const { memory, loadedCount } = this.#options;
    return memory.makeRoom(bytes) || this.#loading.size + loadedCount() === 0;
  }
}
