import type { BatchItem, BatchRecord, ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import type { CallPriority } from '../platform/platformClient.ts';
import { BATCH_LOAD_RETRY_MS } from './constants.ts';
import type { LoadQueue } from './contents/loadQueue.ts';
import type { ItemBodies } from './contents/itemBodies.ts';
import type { PartCache } from './contents/partCache.ts';
import { dropPart } from './contents/storedPart.ts';
import { StoredParts } from './contents/storedParts.ts';
import type { PoolDispatcher } from './poolDispatcher.ts';
import { LogTakenError } from './resultLog.ts';
import { batchRankOf } from './waitingItem.ts';

export interface BatchLoaderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly parts: Pick<PartCache, 'take'>;
  readonly bodies: Pick<ItemBodies, 'add' | 'dropBatch'>;
  readonly queue: Pick<LoadQueue, 'enter'>;
  readonly dispatcher: Pick<PoolDispatcher, 'add' | 'closed' | 'has'>;
  /** Called when a dispatcher of a later term owns the result log of a batch. */
  readonly onLogTaken: () => void;
}

/** Why a batch is no longer to be loaded. */
export type LoadCancelReason = 'ended' | 'removed' | 'moved';

interface Load {
  /** Number of times that the batch had been moved to another pool. */
  readonly moves: number;
  readonly abort: AbortController;
  readonly started: Stopwatch;
}

/** Reads the items of batches and adds the batches to a dispatcher. */
export class BatchLoader {
  readonly #options: BatchLoaderOptions;

  /** Loads in progress by batch. */
  readonly #loads = new Map<string, Load>();

  constructor(options: BatchLoaderOptions) {
    this.#options = options;
  }

  isLoading(batchId: string): boolean {
    return this.#loads.has(batchId);
  }

  /** Number of times that a batch had been moved when its load started; undefined if it is not being loaded. */
  movesOf(batchId: string): number | undefined {
    return this.#loads.get(batchId)?.moves;
  }

  /**
   * Loads a batch. Retries while the platform does not respond, until the batch is loaded or the load is cancelled. Batches that
   * were submitted earlier, or are more urgent, are read first, so that each is complete before the next one is read.
   *
   * @param takeOver - whether a former dispatcher may have run items of the batch
   * @param progress - progress that the former dispatcher handed over
   */
  async load(
    record: BatchRecord,
    takeOver: boolean,
    progress: readonly ItemProgress[] | undefined,
  ): Promise<void> {
    if (this.#loads.has(record.id)) return;
    const { clock, logger, bodies, dispatcher, onLogTaken } = this.#options;
    const load: Load = {
      moves: record.moves,
      ...{ abort: new AbortController(), started: new Stopwatch(clock) },
    };
    this.#loads.set(record.id, load);
    const { signal } = load.abort;
    using admitted = await this.#options.queue.enter(record, signal);
    if (admitted === undefined) return;
    const priority = { kind: 'bulk', order: batchRankOf(record), signal } as const;
    const parts = new StoredParts(record.partCount, (part) =>
      this.#readPart(record, part, priority),
    );
    while (!signal.aborted && !dispatcher.closed && !dispatcher.has(record.id)) {
      try {
        const items = await parts.read();
        if (signal.aborted) break;
        await dispatcher.add(record, items, { takeOver, progress, signal, priority });
      } catch (error) {
        if (signal.aborted) break;
        logger.warn('batch-load-failed', {
          ...{ batch: record.id, partsRead: parts.readCount, parts: parts.count },
          ...{ loadingMs: Math.round(load.started.elapsedMs()), message: messageOf(error) },
        });
        if (error instanceof LogTakenError) {
          onLogTaken();
          break;
        }
        await sleep(clock, BATCH_LOAD_RETRY_MS, signal);
      }
    }
    if (this.#loads.get(record.id) === load) this.#loads.delete(record.id);
    // Another load of the batch may have begun.
    const isInUse = dispatcher.has(record.id) || this.#loads.has(record.id);
    if (!isInUse) bodies.dropBatch(record.id);
  }

  /** Stops all loads. */
  close(): void {
    for (const { abort } of this.#loads.values()) abort.abort();
    this.#loads.clear();
  }

  async #readPart(
    record: BatchRecord,
    part: number,
    priority: CallPriority & { readonly signal: AbortSignal },
  ): Promise<readonly BatchItem[]> {
    const { parts, bodies } = this.#options;
    const stored = await parts.take(record, part, priority);
    if (priority.signal.aborted) dropPart(stored);
    else bodies.add(record, part, stored);
    return stored.items;
  }

  /** Stops loading a batch, so that it is not added from a record that is out of date. */
  cancel(batchId: string, reason: LoadCancelReason): void {
    const load = this.#loads.get(batchId);
    if (load === undefined) return;
    this.#loads.delete(batchId);
    load.abort.abort();
    const loadingMs = Math.round(load.started.elapsedMs());
    this.#options.logger.info('batch-load-cancelled', { batch: batchId, reason, loadingMs });
  }
}
