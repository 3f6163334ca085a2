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
const MAX_REMEMBERED = 33_000;

type Registered = Pick<RegisteredWorker, 'startedAtMs' | 'heartbeatCount'>;

const isOlder = (registration: Registered, known: Registered): boolean =>
  registration.startedAtMs < known.startedAtMs ||
  (registration.startedAtMs === known.startedAtMs &&
    registration.heartbeatCount < known.heartbeatCount);

/** Registered workers by pool. Follows the events of the registrations' kind. */
export class WorkerRegistry implements Disposable {
  readonly #options: WorkerRegistryOptions;

  readonly #workers = new Map<string, RegisteredWorker>();

  /** Timers that end the use of workers whose registration lapsed, by id. */
  readonly #lapsed = new Map<string, Disposable>();

  /** Latest registration seen of each id; remembered after its removal, because a delayed write may restore an old one. */
  readonly #latest = new Map<string, Registered>();

  #byPool: Map<string, RegisteredWorker[]> | undefined;

  #regained: Stopwatch | undefined;

  constructor(options: WorkerRegistryOptions) {
    this.#options = options;
  }

  /** Workers of a pool that may get new work. */
  usable(pool: string): readonly RegisteredWorker[] {
    this.#byPool ??= this.#group();
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
    if (awayMs >= MIN_OUTAGE_MS) this.#regained = new Stopwatch(this.#options.clock);
  }

  /** Takes in a change of a registration. */
  take({ type, object }: PlatformEvent): void {
    const worker = type === 'written' ? this.#options.decode(object) : undefined;
    const id = object.key.slice(object.key.indexOf('/') + 1);
    if (worker !== undefined) this.#put(worker);
    else if (type === 'written') this.#ignore(id);
    else this.#removed(id);
  }

  [Symbol.dispose](): void {
    for (const timer of this.#lapsed.values()) timer[Symbol.dispose]();
  }

  #put(worker: RegisteredWorker): void {
    const latest = this.#latest.get(worker.id);
    if (latest !== undefined && isOlder(worker, latest)) {
      const { id, heartbeatCount } = worker;
      this.#options.logger.info('registration-outdated', { worker: id, heartbeatCount });
      return;
    }
    this.#remember(worker);
    const known = this.#workers.get(worker.id);
    this.#keep(worker.id);
    this.#workers.set(worker.id, worker);
    this.#changed();
    if (known === undefined || known.draining !== worker.draining) {
      const { id, pool, address, draining } = worker;
      this.#options.logger.info('worker-registered', { worker: id, pool, address, draining });
    }
  }

  #remember({ id, startedAtMs, heartbeatCount }: RegisteredWorker): void {
    this.#latest.delete(id);
    this.#latest.set(id, { startedAtMs, heartbeatCount });
    const [oldest] = this.#latest.keys();
    if (this.#latest.size > MAX_REMEMBERED && oldest !== undefined) this.#latest.delete(oldest);
  }

  #ignore(id: string): void {
    this.#options.logger.warn('registration-unreadable', { worker: id });
    this.#drop(id, 'unreadable');
  }

  #removed(id: string): void {
    const lapsedInOutage =
      this.#regained !== undefined && this.#regained.elapsedMs() < LAPSE_WINDOW_MS;
    if (!lapsedInOutage || !this.#workers.has(id)) {
      this.#drop(id, 'removed');
      return;
    }
    const { clock, logger } = this.#options;
    logger.info('worker-lapsed', { worker: id, graceMs: LAPSE_GRACE_MS });
    this.#lapsed.set(
      id,
      clock.schedule(LAPSE_GRACE_MS, () => this.#drop(id, 'lapsed')),
    );
  }

  #drop(id: string, reason: string): void {
    this.#keep(id);
    if (!this.#workers.delete(id)) return;
    this.#options.logger.info('worker-gone', { worker: id, reason });
    this.#changed();
  }

  #keep(id: string): void {
    this.#lapsed.get(id)?.[Symbol.dispose]();
    this.#lapsed.delete(id);
  }

  #changed(): void {
    this.#byPool = undefined;
    this.#options.onChange();
  }

  #group(): Map<string, RegisteredWorker[]> {
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
