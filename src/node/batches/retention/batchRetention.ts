import { type Clock, Stopwatch } from '../../../shared/clock.ts';
import { messageOf } from '../../../shared/errors.ts';
import { newId, type Random } from '../../../shared/random.ts';
import type { BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import {
  abandonedBatches,
  type AbandonmentLimits,
  type AbandonReason,
} from '../../decisions/batchRetention/abandonment.ts';
import type { Logger } from '../../observability/logger.ts';
import type { Metrics } from '../../observability/metrics.ts';
import {
  type PlatformClient,
  PlatformError,
  type PlatformObject,
} from '../../platform/platformClient.ts';
import { withPriority } from '../../platform/withPriority.ts';
import { writeUntilResolved } from '../../platform/writeUntilResolved.ts';
import {
  batchKey,
  encodeBatch,
  itemsKey,
  logPrefix,
  progressPrefix,
  tryDecodeBatch,
} from '../batchObjects.ts';
import { ABANDONED_RECORD_RETENTION_MS, END_WRITE_LIMIT_MS } from '../constants.ts';
import type { PoolDispatcher } from '../poolDispatcher.ts';

export interface BatchRetentionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'batchesRemoved'>;
  readonly platform: PlatformClient;
  /** Pool of the dispatcher. */
  readonly pool: string;
  readonly dispatcher: Pick<PoolDispatcher, 'openBatches' | 'forget'>;
  /** Batch records as followed at the platform, by key. */
  readonly objects: () => ReadonlyMap<string, PlatformObject>;
  /** Whether a batch route leads to a pool. */
  readonly isRouted: (pool: string) => boolean;
  /** How long an ended batch is kept, in ms. */
  readonly retentionMs: number;
  readonly abandonment: AbandonmentLimits;
}

/** Removes ended batches after their retention, and abandons batches whose trainers do not come back. */
export class BatchRetention {
  readonly #options: BatchRetentionOptions;

  /** Time since this dispatcher first saw each ended batch, by key. */
  readonly #endedSince = new Map<string, Stopwatch>();

  /** Keys of abandoned batches of which only the record is left. */
  readonly #cleared = new Set<string>();

  #isSweeping = false;

  constructor(options: BatchRetentionOptions) {
    this.#options = options;
  }

  /** Does not throw; what could not be removed is left to the next sweep. */
  async sweep(): Promise<void> {
    if (this.#isSweeping) return;
    this.#isSweeping = true;
    try {
      await this.#abandon();
      await this.#removeEnded();
    } catch (error) {
      this.#options.logger.warn('batch-removal-failed', { message: messageOf(error) });
    } finally {
      this.#isSweeping = false;
    }
  }

  async #abandon(): Promise<void> {
    const { dispatcher, abandonment, logger, metrics } = this.#options;
    const batches = dispatcher.openBatches();
    for (const [id, reason] of abandonedBatches(batches, abandonment)) {
      if (await this.#markAbandoned(id)) {
        dispatcher.forget(id);
        metrics.batchesRemoved.inc({ reason });
        const batch = batches.find((each) => each.id === id);
        const { unreadMs = 0, bytes } = batch ?? {};
        logger.warn('batch-abandoned', {
          ...{ batch: id, reason, unreadMs: Math.round(unreadMs), bytes },
        });
      }
    }
  }

  /** @returns whether the record says that the batch is abandoned, and that this node has written it */
  async #markAbandoned(id: string): Promise<boolean> {
    const { platform, clock, random, logger, objects } = this.#options;
    const object = objects().get(batchKey(id));
    const record = object && tryDecodeBatch(object, logger);
    if (object === undefined || record === undefined || record.endedAtMs > 0n) return false;
    const endedAtMs = BigInt(Math.round(clock.nowMs()));
    const result = await writeUntilResolved({
      ...{ platform, clock, random, key: object.key, ifVersion: object.version },
      value: encodeBatch({ ...record, endedAtMs, abandonedAtMs: endedAtMs }),
      ...{ operationId: newId(), started: new Stopwatch(clock), limitMs: END_WRITE_LIMIT_MS },
    });
    return result.status === 'written';
  }

  async #removeEnded(): Promise<void> {
    const { clock, retentionMs, logger, objects, pool, isRouted } = this.#options;
    for (const known of [this.#endedSince, this.#cleared]) {
      for (const key of known.keys()) if (!objects().has(key)) known.delete(key);
    }
    for (const object of [...objects().values()]) {
      const record = tryDecodeBatch(object, logger);
      if (record === undefined || record.endedAtMs === 0n) continue;
      if (record.pool !== pool && isRouted(record.pool)) continue;
      const since = this.#endedSince.get(object.key) ?? new Stopwatch(clock);
      this.#endedSince.set(object.key, since);
      if (record.abandonedAtMs > 0n) await this.#clearAbandoned(object, record);
      else if (since.minElapsedMs() >= retentionMs) {
        await this.#remove(object, record, 'ended');
      }
    }
  }

  /** Removes what an abandoned batch holds, and its record long after that. */
  async #clearAbandoned(object: PlatformObject, record: BatchRecord): Promise<void> {
    if (!this.#cleared.has(object.key)) {
      await this.#removeContent(record);
      this.#cleared.add(object.key);
    }
    const abandonedForMs = this.#options.clock.nowMs() - Number(record.abandonedAtMs);
    if (abandonedForMs >= ABANDONED_RECORD_RETENTION_MS) {
      await this.#remove(object, record, 'ended');
    }
  }

  async #remove(
    { key, version }: PlatformObject,
    record: BatchRecord,
    reason: AbandonReason | 'ended',
  ): Promise<void> {
    const { platform, dispatcher, logger, metrics } = this.#options;
    await this.#removeContent(record);
    await platform.remove(key, { ifVersion: version });
    dispatcher.forget(record.id);
    metrics.batchesRemoved.inc({ reason });
    logger.info('batch-removed', { batch: record.id, pool: record.pool });
  }

  async #removeContent(record: BatchRecord): Promise<void> {
    const platform = withPriority(this.#options.platform, { kind: 'bulk', order: Infinity });
    const remove = async (key: string): Promise<void> => {
      const { status } = await platform.remove(key);
      // What is left would not be found again without the record.
      if (status === 'unavailable' || status === 'unknown') {
        throw new PlatformError(`${key} may not have been removed: ${status}`);
      }
    };
    for (const prefix of [logPrefix(record.id), progressPrefix(record.id)]) {
      for (const { key } of await platform.list(prefix)) await remove(key);
    }
    for (let part = 0; part < record.partCount; part += 1) await remove(itemsKey(record, part));
  }
}
