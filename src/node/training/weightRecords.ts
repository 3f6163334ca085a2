import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import type { WeightPublication } from './trainerMessages.ts';
import { Notifier } from '../../shared/notifier.ts';

/** Value of the platform object `weights/<pool>`. */
export interface WeightRecord {
  /** The version that the pool's workers should run: the newest publication. */
  readonly desired: WeightPublication & { readonly job: string };
  /** Published versions, ascending. */
  readonly published: readonly number[];
  /** Workers that failed to load the desired version and get no work. Written by the holder of the pool's lease. */
  readonly outOfService?: readonly string[];
}

export interface WeightRecordsOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly newOperationId: () => string;
  /** Interval between lists, in ms. */
  readonly intervalMs: number;
}

/** Maximum number of published versions to keep: one more than the largest staleness bound that can be set (1,000). */
const MAX_PUBLISHED = 1001;

/** Maximum number of attempts to write a publication. After them the result is reported as unknown. */
const MAX_WRITE_ATTEMPTS = 8;

/** Twice the number of pools that the tables may list, because records of removed pools stay in the platform. */
const MAX_POOLS = 2000;

const RETRY_DELAY_MS = 200;

const PREFIX = 'weights/';

export type PublishResult =
  | { readonly status: 'recorded' }
  /** A newer version, or the same version with another URI, was already published. */
  | { readonly status: 'refused'; readonly newest: number }
  | { readonly status: 'unknown' };

interface KnownRecord {
  readonly version: number;
  readonly record: WeightRecord;
}

const addPublication = (
  record: WeightRecord | undefined,
  job: string,
  { version, uri }: WeightPublication,
): WeightRecord => ({
  desired: { version, uri, job },
  published: [...(record?.published ?? []), version].slice(-MAX_PUBLISHED),
});

/** Published weight versions of every pool, as stored in the platform. */
export class WeightRecords implements Disposable {
  readonly #options: WeightRecordsOptions;

  readonly #known = new Map<string, KnownRecord>();

  readonly #stop = new AbortController();

  /** Notified of every change. */
  readonly changes: Notifier;

  constructor(options: WeightRecordsOptions) {
    this.#options = options;
    this.changes = new Notifier(options.clock);
  }

  /** Watches and lists the records until disposed. */
  async run(): Promise<void> {
    const { platform, clock, intervalMs, logger } = this.#options;
    const watch = platform.watch(PREFIX, ({ type, object }) => {
      if (type === 'written') this.#update(object);
    });
    while (!this.#stop.signal.aborted) {
      try {
        for (const object of await platform.list(PREFIX)) this.#update(object);
      } catch (error) {
        logger.debug('weights-list-failed', { message: messageOf(error) });
      }
      await sleep(clock, intervalMs, this.#stop.signal);
    }
    watch[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  /** Published versions of a pool that this node knows, ascending. */
  published(pool: string): readonly number[] {
    return this.#known.get(pool)?.record.published ?? [];
  }

  desired(pool: string): WeightRecord['desired'] | undefined {
    return this.#known.get(pool)?.record.desired;
  }

  /** Whether the holder of the pool's lease has put a worker out of service. */
  isOutOfService(pool: string, worker: string): boolean {
    return this.#known.get(pool)?.record.outOfService?.includes(worker) ?? false;
  }

  /** Records which workers get no work. Returns false when the call must be retried. */
  async setOutOfService(pool: string, workers: readonly string[]): Promise<boolean> {
    const known = this.#known.get(pool);
    if (known === undefined) return false;
    const { outOfService = [] } = known.record;
    if (outOfService.join() === workers.join()) return true;
    const value = { ...known.record, outOfService: workers };
    return (await this.#write(pool, known.version, value)) === 'written';
  }

  /**
   * Reads a pool's record.
   *
   * @throws PlatformError when no response arrived in time
   */
  async refresh(pool: string): Promise<void> {
    const object = await this.#options.platform.read(`${PREFIX}${pool}`);
    if (object) this.#update(object);
  }

  /** Records a publication. Workers are ordered to load it only after the platform has confirmed the write. */
  async publish(pool: string, job: string, publication: WeightPublication): Promise<PublishResult> {
    const { clock, logger } = this.#options;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await sleep(clock, RETRY_DELAY_MS);
      try {
        await this.refresh(pool);
        const result = await this.#tryPublish(pool, job, publication);
        if (result) return result;
      } catch (error) {
        logger.debug('weights-write-failed', { pool, message: messageOf(error) });
      }
    }
    return { status: 'unknown' };
  }

  async #tryPublish(
    pool: string,
    job: string,
    publication: WeightPublication,
  ): Promise<PublishResult | undefined> {
    const known = this.#known.get(pool);
    const { desired } = known?.record ?? {};
    if (desired?.version === publication.version && desired.uri === publication.uri) {
      return { status: 'recorded' };
    }
    if (desired && desired.version >= publication.version) {
      return { status: 'refused', newest: desired.version };
    }
    const value = addPublication(known?.record, job, publication);
    const status = await this.#write(pool, known?.version ?? 0, value);
    return status === 'written' ? { status: 'recorded' } : undefined;
  }

  async #write(pool: string, ifVersion: number, value: WeightRecord): Promise<string> {
    const { platform, newOperationId } = this.#options;
    const operationId = newOperationId();
    const key = `${PREFIX}${pool}`;
    const result = await platform.write(key, value, { ifVersion, operationId });
    if (result.status === 'written') {
      this.#update({ key, version: result.version, operationId, value });
    }
    return result.status;
  }

  #update({ key, version, value }: PlatformObject): void {
    const pool = key.slice(PREFIX.length);
    if (this.#known.size >= MAX_POOLS && !this.#known.has(pool)) return;
    if (version <= (this.#known.get(pool)?.version ?? 0)) return;
    this.#known.set(pool, { version, record: value as WeightRecord });
    this.changes.notify();
  }
}
