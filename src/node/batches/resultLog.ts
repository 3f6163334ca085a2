import { create } from '@bufbuild/protobuf';
import {
  type BatchLogEntry,
  BatchLogEntrySchema,
  type ItemResult,
  ItemResultSchema,
  ItemState as ResultState,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { BaseError, messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import { type DispatcherRank, outranks } from '../decisions/batchMoves/dispatcherRank.ts';
import type { Logger } from '../observability/logger.ts';
import type { CallPriority, PlatformClient } from '../platform/platformClient.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import { Notifier } from '../../shared/notifier.ts';
import {
  decodeLogEntry,
  encodeLogEntry,
  logKey,
  logPrefix,
  maxContentBytes,
  resultSizeBytes,
  splitBySize,
} from './batchObjects.ts';
import { LOG_WRITE_INTERVAL_MS, LOG_WRITE_LIMIT_MS, MAX_READ_BYTES } from './constants.ts';

/** Thrown when another node has taken over the log and this node may no longer write to it. */
export const LogTakenError = BaseError.subclass('LogTakenError');

/** Reads all entries of a batch's log in order. @throws PlatformError when the platform does not respond */
export const readLog = async (
  platform: PlatformClient,
  batchId: string,
  priority?: CallPriority,
): Promise<BatchLogEntry[]> => {
  const objects = await platform.list(logPrefix(batchId), { priority });
  return [...objects]
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({ value }) => decodeLogEntry(value));
};

/** Upper estimate of the memory of a result, in bytes, and of its size in a response. */
const resultBytes = ({ events }: ItemResult): number =>
  events.reduce((sum, data) => sum + data.length + 4, 256);

/** Returns the leading results that fit into one response, and at least one if there are any. */
export const limitReadSize = (results: readonly ItemResult[]): ItemResult[] => {
  const fitting: ItemResult[] = [];
  let sizeBytes = 0;
  for (const result of results) {
    sizeBytes += resultBytes(result);
    if (fitting.length > 0 && sizeBytes > MAX_READ_BYTES) break;
    fitting.push(result);
  }
  return fitting;
};

export interface ResultLogOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly batchId: string;
  /** Rank of this dispatcher. */
  readonly rank: DispatcherRank;
  /** Incarnation of this node. */
  readonly writer: string;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
  /** Called with results that a former dispatcher stored after this one had read the log. */
  readonly onAdopted: (results: readonly ItemResult[]) => void;
  /** Called when a dispatcher of a later term of this pool has taken over the log. */
  readonly onTakenOver: () => void;
}

/**
 * Append-only log of one batch's results, in the order in which readers see them. A result becomes visible once its
 * entry is stored. Each entry is created under the next number by a conditional write, so only one of two competing
 * dispatchers can assign a position; the write of the other conflicts, which tells it that it was superseded.
 */
export class ResultLog {
  readonly #options: ResultLogOptions;

  #results: ItemResult[] = [];

  /** Memory of the results, in bytes. */
  #resultsBytes = 0;

  /** Whether the results are only at the platform. */
  #isReleased = false;

  /** Results that no stored entry contains yet. */
  #pending: ItemResult[] = [];

  #entryCount = 0;

  #writing = false;

  #closed = false;

  #lastWrite: Stopwatch | undefined;

  #timer: Disposable | undefined;

  /** Notified after each flush and when the log is closed. */
  readonly changes: Notifier;

  constructor(options: ResultLogOptions) {
    this.#options = options;
    this.changes = new Notifier(options.clock);
  }

  /** Stored results, indexed by position. */
  get results(): readonly ItemResult[] {
    return this.#results;
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Memory of the stored results, in bytes. */
  get resultsBytes(): number {
    return this.#resultsBytes;
  }

  /** Whether all results are stored. */
  get isFlushed(): boolean {
    return this.#pending.length === 0 && !this.#writing;
  }

  /** Whether the results were released, so that they must be read from the platform. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Gives up the memory of the stored results of a batch to which no further ones come. */
  release(): void {
    this.#results = [];
    this.#resultsBytes = 0;
    this.#isReleased = true;
  }

  /**
   * Takes over the log: reads the stored entries and appends an empty entry that fences off the former dispatcher.
   *
   * @throws PlatformError when the platform does not respond
   * @throws LogTakenError when a dispatcher of a higher rank owns the log
   */
  async takeOver(priority?: CallPriority): Promise<void> {
    const { platform, batchId, rank, writer } = this.#options;
    for (;;) {
      const entries = await readLog(platform, batchId, priority);
      const latest = entries.at(-1);
      if (latest !== undefined && outranks(latest, rank)) {
        const owner = `term ${latest.term} after ${latest.moves} moves`;
        throw new LogTakenError(`log of batch ${batchId} is owned by ${owner}`);
      }
      const isOwnEntry =
        latest?.term === rank.term && latest.moves === rank.moves && latest.writer === writer;
      if (
        isOwnEntry ||
        (await this.#write(entries.length, this.#createEntry([], entries))) === 'stored'
      ) {
        this.#entryCount = entries.length + (isOwnEntry ? 0 : 1);
        for (const { results } of entries) this.#list(results);
        return;
      }
    }
  }

  /** Queues a result, to be stored with one of the next entries. One that fits into none is stored as a dead item. */
  append(result: ItemResult): void {
    const { logger, batchId } = this.#options;
    const sizeBytes = resultSizeBytes(result);
    const fits = sizeBytes <= this.#maxEntryBytes;
    if (!fits) {
      logger.error('result-too-large', { batch: batchId, item: result.itemId, sizeBytes });
    }
    this.#pending.push(
      fits ? result : create(ItemResultSchema, { itemId: result.itemId, state: ResultState.DEAD }),
    );
    this.#scheduleFlush(LOG_WRITE_INTERVAL_MS);
  }

  /** Stores pending results without waiting for the write interval, because a trainer waits for them. */
  flush(): void {
    this.#scheduleFlush(0);
  }

  /** Stops writing and notifies all waiting readers. */
  close(): void {
    this.#closed = true;
    this.#timer?.[Symbol.dispose]();
    this.changes.notify();
  }

  get #maxEntryBytes(): number {
    return maxContentBytes(this.#options.maxValueBytes);
  }

  #scheduleFlush(delayMs: number): void {
    if (this.#closed || this.#writing || this.#pending.length === 0) return;
    this.#timer?.[Symbol.dispose]();
    const sinceMs = this.#lastWrite?.elapsedMs() ?? Infinity;
    const waitMs = Math.max(0, delayMs - sinceMs);
    this.#timer = this.#options.clock.schedule(waitMs, () => void this.#flush());
  }

  async #flush(): Promise<void> {
    if (this.#closed || this.#writing) return;
    this.#writing = true;
    const { clock } = this.#options;
    const [first = [], ...others] = splitBySize(
      this.#pending,
      resultSizeBytes,
      this.#maxEntryBytes,
    );
    let results = first;
    this.#pending = others.flat();
    const hasMore = others.length > 0;
    while (!this.#closed && results.length > 0) {
      const outcome = await this.#write(this.#entryCount, this.#createEntry(results, undefined));
      if (outcome === 'stored') {
        this.#entryCount += 1;
        this.#list(results);
        break;
      }
      if (outcome === 'unknown') await sleep(clock, LOG_WRITE_INTERVAL_MS);
      else results = this.#handleForeignEntry(outcome, results);
    }
    this.#writing = false;
    this.#lastWrite = new Stopwatch(clock);
    this.changes.notify();
    this.#scheduleFlush(hasMore ? 0 : LOG_WRITE_INTERVAL_MS);
  }

  /**
   * Handles an entry of another dispatcher under the number that this one wanted to write: stops when that dispatcher
   * has a higher rank, otherwise adopts the entry's results.
   *
   * @returns results that remain to be stored
   */
  #handleForeignEntry(entry: BatchLogEntry, results: ItemResult[]): ItemResult[] {
    const { logger, batchId, rank, onAdopted, onTakenOver } = this.#options;
    const fields = {
      ...{ batch: batchId, entry: this.#entryCount, ...rank },
      ...{ foundMoves: entry.moves, foundTerm: entry.term },
    };
    if (outranks(entry, rank)) {
      logger.warn('batch-log-taken-over', fields);
      this.close();
      // The dispatcher of another pool owns a batch that was moved; this one keeps its own pool.
      if (entry.moves === rank.moves) onTakenOver();
      return [];
    }
    logger.warn('batch-log-entry-adopted', { ...fields, results: entry.results.length });
    this.#entryCount += 1;
    this.#list(entry.results);
    onAdopted(entry.results);
    const adopted = new Set(entry.results.map(({ itemId }) => itemId));
    this.#pending = this.#pending.filter(({ itemId }) => !adopted.has(itemId));
    return results.filter(({ itemId }) => !adopted.has(itemId));
  }

  #list(results: readonly ItemResult[]): void {
    this.#results.push(...results);
    this.#resultsBytes += results.reduce((sum, result) => sum + resultBytes(result), 0);
  }

  #createEntry(
    results: ItemResult[],
    earlier: readonly BatchLogEntry[] | undefined,
  ): BatchLogEntry {
    const { rank, writer } = this.#options;
    const firstPosition =
      earlier === undefined
        ? this.#results.length
        : earlier.reduce((count, entry) => count + entry.results.length, 0);
    return create(BatchLogEntrySchema, { ...rank, writer, firstPosition, results });
  }

  /** Creates an entry under a number. Returns the existing entry when another dispatcher has used the number. */
  async #write(
    number: number,
    entry: BatchLogEntry,
  ): Promise<'stored' | 'unknown' | BatchLogEntry> {
    const { platform, clock, random, logger, batchId } = this.#options;
    const started = new Stopwatch(clock);
    // Derived from the content, so that a retry after a lost response recognizes its own entry.
    const { writer, moves, term, results } = entry;
    const operationId = `${writer}-${moves}-${term}-${number}-${results.length}`;
    const key = logKey(batchId, number);
    const value = encodeLogEntry(entry);
    try {
      const limitMs = LOG_WRITE_LIMIT_MS;
      const result = await writeUntilResolved({
        ...{ platform, clock, random, key, value, operationId, started, limitMs },
        ifVersion: 0,
      });
      const fields = { batch: batchId, entry: number, results: entry.results.length };
      const tookMs = Math.round(started.elapsedMs());
      logger.info('batch-log-write', { ...fields, outcome: result.status, tookMs });
      if (result.status === 'written') return 'stored';
      if (result.status !== 'conflict') return 'unknown';
      // The conflicting entry may be this one, written by an earlier attempt whose response was lost.
      const found = await platform.read(key);
      if (found === undefined) return 'unknown';
      return found.operationId === operationId ? 'stored' : decodeLogEntry(found.value);
    } catch (error) {
      logger.warn('batch-log-write-failed', { batch: batchId, message: messageOf(error) });
      return 'unknown';
    }
  }
}
