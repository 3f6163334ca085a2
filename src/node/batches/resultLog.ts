import { create } from '@bufbuild/protobuf';
import {
  type BatchLogEntry,
  BatchLogEntrySchema,
  type ItemResult,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { BaseError, messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import { writeResolved } from '../platform/resolveUnknown.ts';
import { WakeUp } from '../../shared/wakeUp.ts';
import { decodeLogEntry, encodeLogEntry, logKey, logPrefix } from './batchObjects.ts';
import { LOG_INTERVAL_MS, LOG_WRITE_LIMIT_MS, MAX_READ_BYTES } from './constants.ts';

/** Another node has taken the log over: this one may not write any more. */
export const LogTakenError = BaseError.subclass('LogTakenError');

/** Reads all entries of a batch's log in order. @throws PlatformError when the platform does not answer */
export const readLog = async (
  platform: PlatformClient,
  batchId: string,
): Promise<BatchLogEntry[]> => {
  const objects = await platform.list(logPrefix(batchId));
  return [...objects]
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({ value }) => decodeLogEntry(value));
};

/** As many results as one answer holds, at least one when there is one. */
export const fitAnswer = (results: readonly ItemResult[]): ItemResult[] => {
  const fitting: ItemResult[] = [];
  let sizeBytes = 0;
  for (const result of results) {
    sizeBytes += result.events.reduce((sum, data) => sum + data.length + 4, 256);
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
  /** Number of this dispatcher's term. */
  readonly term: number;
  /** Incarnation of this node. */
  readonly writer: string;
  /** Told of results that a former dispatcher stored after this one had read the log. */
  readonly onAdopted: (results: readonly ItemResult[]) => void;
  /** Told when another node has taken the log over. */
  readonly onTaken: () => void;
}

/**
 * The results of one batch in the order in which they are read. An entry counts once it is stored; it is created under
 * the next number, so of two dispatchers only one can give a position away, and the other learns that it was replaced.
 */
export class ResultLog {
  readonly #options: ResultLogOptions;

  readonly #results: ItemResult[] = [];

  /** Results that are not stored yet. */
  #pending: ItemResult[] = [];

  #entryCount = 0;

  #writing = false;

  #closed = false;

  #lastWrite: Stopwatch | undefined;

  #timer: Disposable | undefined;

  /** Notified when results were stored, and when the log is closed. */
  readonly changes: WakeUp;

  constructor(options: ResultLogOptions) {
    this.#options = options;
    this.changes = new WakeUp(options.clock);
  }

  /** Stored results by position. */
  get results(): readonly ItemResult[] {
    return this.#results;
  }

  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Takes the log over: reads what is stored, and writes an entry that keeps the former dispatcher from writing.
   *
   * @throws PlatformError when the platform does not answer
   * @throws LogTakenError when a later dispatcher has the log
   */
  async takeOver(): Promise<void> {
    const { platform, batchId, term, writer } = this.#options;
    for (;;) {
      const entries = await readLog(platform, batchId);
      const latest = entries.at(-1);
      if (latest !== undefined && latest.term > term) {
        throw new LogTakenError(`batch ${batchId} is in term ${latest.term}`);
      }
      const isOwn = latest?.term === term && latest.writer === writer;
      if (isOwn || (await this.#write(entries.length, this.#entry([], entries))) === 'stored') {
        this.#entryCount = entries.length + (isOwn ? 0 : 1);
        for (const { results } of entries) this.#results.push(...results);
        return;
      }
    }
  }

  /** Adds a result; it is stored with the next entry. */
  append(result: ItemResult): void {
    this.#pending.push(result);
    this.#flushLater(LOG_INTERVAL_MS);
  }

  /** Stores what is pending as soon as possible, because a trainer waits for it. */
  flush(): void {
    this.#flushLater(0);
  }

  /** Ends all writing. */
  close(): void {
    this.#closed = true;
    this.#timer?.[Symbol.dispose]();
    this.changes.notify();
  }

  #flushLater(delayMs: number): void {
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
    let results = this.#pending;
    this.#pending = [];
    while (!this.#closed && results.length > 0) {
      const outcome = await this.#write(this.#entryCount, this.#entry(results, undefined));
      if (outcome === 'stored') {
        this.#entryCount += 1;
        this.#results.push(...results);
        break;
      }
      if (outcome === 'unknown') await sleep(clock, LOG_INTERVAL_MS);
      else results = this.#yield(outcome, results);
    }
    this.#writing = false;
    this.#lastWrite = new Stopwatch(clock);
    this.changes.notify();
    this.#flushLater(LOG_INTERVAL_MS);
  }

  /** Makes room for another dispatcher's entry. Returns what is still to be stored. */
  #yield(entry: BatchLogEntry, results: ItemResult[]): ItemResult[] {
    const { logger, batchId, term, onAdopted, onTaken } = this.#options;
    const fields = { batch: batchId, entry: this.#entryCount, term, foundTerm: entry.term };
    if (entry.term > term) {
      logger.warn('batch-log-taken', fields);
      this.close();
      onTaken();
      return [];
    }
    logger.warn('batch-log-entry-adopted', { ...fields, results: entry.results.length });
    this.#entryCount += 1;
    this.#results.push(...entry.results);
    onAdopted(entry.results);
    const adopted = new Set(entry.results.map(({ itemId }) => itemId));
    this.#pending = this.#pending.filter(({ itemId }) => !adopted.has(itemId));
    return results.filter(({ itemId }) => !adopted.has(itemId));
  }

  #entry(results: ItemResult[], before: readonly BatchLogEntry[] | undefined): BatchLogEntry {
    const { term, writer } = this.#options;
    const stored =
      before === undefined
        ? this.#results.length
        : before.reduce((count, entry) => count + entry.results.length, 0);
    return create(BatchLogEntrySchema, { term, writer, firstPosition: stored, results });
  }

  /** Creates an entry under a number. Returns another dispatcher's entry when that has the number. */
  async #write(
    number: number,
    entry: BatchLogEntry,
  ): Promise<'stored' | 'unknown' | BatchLogEntry> {
    const { platform, clock, random, logger, batchId } = this.#options;
    const started = new Stopwatch(clock);
    // Made from the content, so that a repeat after a lost answer recognises its own entry.
    const operationId = `${entry.writer}-${entry.term}-${number}-${entry.results.length}`;
    const key = logKey(batchId, number);
    const value = encodeLogEntry(entry);
    try {
      const limitMs = LOG_WRITE_LIMIT_MS;
      const result = await writeResolved({
        ...{ platform, clock, random, key, value, operationId, started, limitMs },
        ifVersion: 0,
      });
      const took = { batch: batchId, entry: number, results: entry.results.length };
      const tookMs = Math.round(started.elapsedMs());
      logger.info('batch-log-write', { ...took, outcome: result.status, tookMs });
      if (result.status === 'written') return 'stored';
      if (result.status !== 'conflict') return 'unknown';
      // A conflict may be with an earlier copy of the same entry whose answer was lost.
      const found = await platform.read(key);
      if (found === undefined) return 'unknown';
      return found.operationId === operationId ? 'stored' : decodeLogEntry(found.value);
    } catch (error) {
      logger.warn('batch-log-write-failed', { batch: batchId, message: messageOf(error) });
      return 'unknown';
    }
  }
}
