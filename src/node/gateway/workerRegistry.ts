import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformEvent, PlatformObject } from '../platform/platformClient.ts';

/** Weight version of a model on a worker. */
export interface LoadedModel {
  readonly name: string;
  readonly version: number;
}

/** A worker as it registered itself. */
export interface RegisteredWorker {
  /** Identifies one start of the worker, mostly: a worker may start again under the same id. */
  readonly id: string;
  readonly pool: string;
  /** IP number and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** When the worker started, in ms since 1970; tells two starts under one id apart. */
  readonly startedAtMs: number;
  /** Grows with each registration of one start. */
  readonly heartbeatCount: number;
  readonly models: readonly LoadedModel[];
}

/** Reads a registration; undefined when it names no worker that can be used. */
export type DecodeWorker = (object: PlatformObject) => RegisteredWorker | undefined;

export interface WorkerRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly decode: DecodeWorker;
  /** Told after any change. */
  readonly onChange: () => void;
}

/**
 * How long a worker whose registration lapsed while the platform was away is still used after its return, in ms. The
 * platform's page says that registrations of live workers are back within about two seconds.
 */
const LAPSE_GRACE_MS = 2000;

/** A registration that disappeared this soon after the platform's return lapsed in the outage, in ms. */
const LAPSE_WINDOW_MS = 1000;

/** An outage shorter than this lets no registration lapse, in ms: workers renew theirs every one to two seconds. */
const MIN_OUTAGE_MS = 1500;

/** Registrations of which the latest is remembered. Three times the workers of the design size. */
const MAX_TRACKED = 33_000;

type RegistrationAge = Pick<RegisteredWorker, 'startedAtMs' | 'heartbeatCount'>;

const isOlder = (registration: RegistrationAge, known: RegistrationAge): boolean =>
  registration.startedAtMs < known.startedAtMs ||
  (registration.startedAtMs === known.startedAtMs &&
    registration.heartbeatCount < known.heartbeatCount);

/** Registered workers by pool. Follows the events of the registrations' kind. */
export class WorkerRegistry implements Disposable {
  readonly #options: WorkerRegistryOptions;

  readonly #workers = new Map<string, RegisteredWorker>();

  /** Timers that end the use of workers whose registration lapsed, by id. */
  readonly #lapseTimers = new Map<string, Disposable>();

  /** Latest registration seen of each id; remembered after its removal, because a delayed write may restore an old one. */
  readonly #latest = new Map<string, RegistrationAge>();

  #byPool: Map<string, RegisteredWorker[]> | undefined;

  #sinceRegained: Stopwatch | undefined;

  constructor(options: WorkerRegistryOptions) {
    this.#options = options;
  }

  /** Workers of a pool that may get new work. */
  usable(pool: string): readonly RegisteredWorker[] {
    this.#byPool ??= this.#groupByPool();
    return this.#byPool.get(pool) ?? [];
  }

  find(id: string): RegisteredWorker | undefined {
    return this.#workers.get(id);
  }

  /** All registered workers, draining ones included. */
  all(): IterableIterator<RegisteredWorker> {
    return this.#workers.values();
  }

  /** The platform answers again after an outage. */
  regained(awayMs: number): void {
    if (awayMs >= MIN_OUTAGE_MS) this.#sinceRegained = new Stopwatch(this.#options.clock);
  }

  /** Takes in a change of a registration. */
  take({ type, object }: PlatformEvent): void {
    const worker = type === 'written' ? this.#options.decode(object) : undefined;
    const id = object.key.slice(object.key.indexOf('/') + 1);
    if (worker !== undefined) this.#register(worker);
    else if (type === 'written') this.#dropUnreadable(id);
    else this.#handleRemoval(id);
  }

  [Symbol.dispose](): void {
    for (const timer of this.#lapseTimers.values()) timer[Symbol.dispose]();
  }

  #register(worker: RegisteredWorker): void {
    const latest = this.#latest.get(worker.id);
    if (latest !== undefined && isOlder(worker, latest)) {
      const { id, heartbeatCount } = worker;
      this.#options.logger.info('registration-outdated', { worker: id, heartbeatCount });
      return;
    }
    this.#trackLatest(worker);
    const known = this.#workers.get(worker.id);
    this.#cancelLapseTimer(worker.id);
    this.#workers.set(worker.id, worker);
    this.#notifyChange();
    if (known === undefined || known.draining !== worker.draining) {
      const { id, pool, address, draining } = worker;
      this.#options.logger.info('worker-registered', { worker: id, pool, address, draining });
    }
  }

  #trackLatest({ id, startedAtMs, heartbeatCount }: RegisteredWorker): void {
    this.#latest.delete(id);
    this.#latest.set(id, { startedAtMs, heartbeatCount });
    const [oldest] = this.#latest.keys();
    if (this.#latest.size > MAX_TRACKED && oldest !== undefined) this.#latest.delete(oldest);
  }

  #dropUnreadable(id: string): void {
    this.#options.logger.warn('registration-unreadable', { worker: id });
    this.#drop(id, 'unreadable');
  }

  #handleRemoval(id: string): void {
    const lapsedInOutage =
      this.#sinceRegained !== undefined && this.#sinceRegained.elapsedMs() < LAPSE_WINDOW_MS;
    if (!lapsedInOutage || !this.#workers.has(id)) {
      this.#drop(id, 'removed');
      return;
    }
    const { clock, logger } = this.#options;
    logger.info('worker-lapsed', { worker: id, graceMs: LAPSE_GRACE_MS });
    this.#lapseTimers.set(
      id,
      clock.schedule(LAPSE_GRACE_MS, () => this.#drop(id, 'lapsed')),
    );
  }

  #drop(id: string, reason: string): void {
    this.#cancelLapseTimer(id);
    if (!this.#workers.delete(id)) return;
    this.#options.logger.info('worker-gone', { worker: id, reason });
    this.#notifyChange();
  }

  #cancelLapseTimer(id: string): void {
    this.#lapseTimers.get(id)?.[Symbol.dispose]();
    this.#lapseTimers.delete(id);
  }

  #notifyChange(): void {
    this.#byPool = undefined;
    this.#options.onChange();
  }

  #groupByPool(): Map<string, RegisteredWorker[]> {
    const byPool = new Map<string, RegisteredWorker[]>();
    for (const worker of this.#workers.values()) {
      if (worker.draining) continue;
      const workers = byPool.get(worker.pool);
      if (workers) workers.push(worker);
      else byPool.set(worker.pool, [worker]);
    }
    return byPool;
  }
}
