import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import type { WeightPublication } from './trainerMessages.ts';
import { WakeUp } from '../../shared/wakeUp.ts';

/** Value of the object `weights/<pool>`. */
export interface WeightRecord {
  /** What the pool's workers should run: the newest publication. */
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
  /** Between lists, in ms. */
  readonly intervalMs: number;
}

/** Largest staleness bound that an operator may set is 1,000 versions. */
const MAX_PUBLISHED = 1001;

/** Attempts to write a publication before the trainer is told that the result is unknown. */
const MAX_WRITE_ATTEMPTS = 8;

/** Twice the number of pools that the tables may list, because records of removed pools stay at the platform. */
const MAX_POOLS = 2000;

const RETRY_DELAY_MS = 200;

const PREFIX = 'weights/';

export type PublishResult =
  | { readonly status: 'recorded' }
  /** A newer version, or the same one with another address, was published before. */
  | { readonly status: 'refused'; readonly newest: number }
  | { readonly status: 'unknown' };

interface Known {
  readonly version: number;
  readonly record: WeightRecord;
}

const withPublication = (
  record: WeightRecord | undefined,
  job: string,
  { version, uri }: WeightPublication,
): WeightRecord => ({
  desired: { version, uri, job },
  published: [...(record?.published ?? []), version].slice(-MAX_PUBLISHED),
});

/** Published weight versions of every pool, as kept at the platform. */
export class WeightRecords implements Disposable {
  readonly #options: WeightRecordsOptions;

  readonly #known = new Map<string, Known>();

  readonly #stop = new AbortController();

  /** Notified of every change. */
  readonly changes: WakeUp;

  constructor(options: WeightRecordsOptions) {
    this.#options = options;
    this.changes = new WakeUp(options.clock);
  }

  /** Follows the records until disposed. */
  async run(): Promise<void> {
    const { platform, clock, intervalMs, logger } = this.#options;
    const watch = platform.watch(PREFIX, ({ type, object }) => {
      if (type === 'written') this.#learn(object);
    });
    while (!this.#stop.signal.aborted) {
      try {
        for (const object of await platform.list(PREFIX)) this.#learn(object);
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

  /** Published versions of a pool, ascending, as far as this node knows. */
  published(pool: string): readonly number[] {
    return this.#known.get(pool)?.record.published ?? [];
  }

  desired(pool: string): WeightRecord['desired'] | undefined {
    return this.#known.get(pool)?.record.desired;
  }

  /** Whether the holder of the pool's lease has left a worker out. */
  isOutOfService(pool: string, worker: string): boolean {
    return this.#known.get(pool)?.record.outOfService?.includes(worker) ?? false;
  }

  /** Records which workers get no work. False when that is to be tried again. */
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
   * @throws PlatformError when no answer arrived in time
   */
  async refresh(pool: string): Promise<void> {
    const object = await this.#options.platform.read(`${PREFIX}${pool}`);
    if (object) this.#learn(object);
  }

  /** Records a publication. It is ordered only after the platform has confirmed it. */
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
    const value = withPublication(known?.record, job, publication);
    const status = await this.#write(pool, known?.version ?? 0, value);
    return status === 'written' ? { status: 'recorded' } : undefined;
  }

  async #write(pool: string, ifVersion: number, value: WeightRecord): Promise<string> {
    const { platform, newOperationId } = this.#options;
    const operationId = newOperationId();
    const key = `${PREFIX}${pool}`;
    const result = await platform.write(key, value, { ifVersion, operationId });
    if (result.status === 'written') {
      this.#learn({ key, version: result.version, operationId, value });
    }
    return result.status;
  }

  #learn({ key, version, value }: PlatformObject): void {
    const pool = key.slice(PREFIX.length);
    if (this.#known.size >= MAX_POOLS && !this.#known.has(pool)) return;
    if (version <= (this.#known.get(pool)?.version ?? 0)) return;
    this.#known.set(pool, { version, record: value as WeightRecord });
    this.changes.notify();
  }
}
