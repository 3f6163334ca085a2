import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformEvent, PlatformObject } from '../platform/platformClient.ts';

/** A model loaded on a worker, with its weight version. */
export interface LoadedModel {
  readonly name: string;
  readonly version: number;
}

/** A worker as described by its registration. */
export interface RegisteredWorker {
  /** Usually identifies one start of the worker, but a worker may restart under the same id. */
  readonly id: string;
  readonly pool: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** When the worker started, in ms since the Unix epoch; distinguishes starts under the same id. */
  readonly startedAtMs: number;
  /** Increases with each registration since the worker's start. */
  readonly heartbeatCount: number;
  readonly models: readonly LoadedModel[];
  /** Whether the worker is cheaper and may be reclaimed at short notice. @default false */
  readonly spot?: boolean;
  /** Time from the registration until the worker stops, in ms; undefined where it does not say so. */
  readonly leavesInMs?: number;
}

/** Decodes a registration; undefined when it describes no usable worker. */
export type DecodeWorker = (object: PlatformObject) => RegisteredWorker | undefined;

export interface WorkerRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly decode: DecodeWorker;
  /** Called after each change. */
  readonly onChange: () => void;
}

/**
 * How long a worker whose registration expired during a platform outage is still used after the outage, in ms. The
 * platform's documentation says that registrations of live workers are restored within about two seconds.
 */
const LAPSE_GRACE_MS = 2000;

/** A registration removed within this time after a platform outage is taken to have expired during it, in ms. */
const LAPSE_WINDOW_MS = 1000;

/** Registrations do not expire in a shorter outage, in ms: workers renew them every one to two seconds. */
const MIN_OUTAGE_MS = 1500;

/** Maximum number of workers whose latest registration is tracked: three times the workers of the design size. */
const MAX_TRACKED = 33_000;

type RegistrationAge = Pick<RegisteredWorker, 'startedAtMs' | 'heartbeatCount'>;

interface KnownStart extends RegistrationAge {
  /** Whether the worker itself has said that it is about to stop. Holds until its next start. */
  readonly leaving: boolean;
  /** Earliest monotonic time in ms at which a registration of this start says that the worker stops. */
  readonly leavesAtMs: number | undefined;
}

const earliest = (one: number | undefined, other: number | undefined): number | undefined =>
  one === undefined || other === undefined ? (one ?? other) : Math.min(one, other);

const isOlder = (registration: RegistrationAge, known: RegistrationAge): boolean =>
  registration.startedAtMs < known.startedAtMs ||
  (registration.startedAtMs === known.startedAtMs &&
    registration.heartbeatCount < known.heartbeatCount);

/** Registered workers by pool, kept up to date from platform events about registrations. */
export class WorkerRegistry implements Disposable {
  readonly #options: WorkerRegistryOptions;

  readonly #workers = new Map<string, RegisteredWorker>();

  /** Timers that remove workers whose registration expired during an outage, by worker id. */
  readonly #lapseTimers = new Map<string, Disposable>();

  /** Latest registration seen per id. Kept after its removal, because a delayed write may restore an older one. */
  readonly #latest = new Map<string, KnownStart>();

  #byPool: Map<string, RegisteredWorker[]> | undefined;

  #sinceRegained: Stopwatch | undefined;

  constructor(options: WorkerRegistryOptions) {
    this.#options = options;
  }

  /** Workers of a pool that may receive new work, i.e. those that are not draining. */
  usable(pool: string): readonly RegisteredWorker[] {
    this.#byPool ??= this.#groupByPool();
    return this.#byPool.get(pool) ?? [];
  }

  find(id: string): RegisteredWorker | undefined {
    return this.#workers.get(id);
  }

  /** Monotonic time in ms at which a worker stops; undefined where its registrations do not say so. */
  leavesAtMs(id: string): number | undefined {
    return this.#latest.get(id)?.leavesAtMs;
  }

  /** All registered workers, including draining ones. */
  all(): IterableIterator<RegisteredWorker> {
    return this.#workers.values();
  }

  /**
   * Records the end of a platform outage.
   *
   * @param awayMs - duration of the outage, in ms
   */
  platformReconnected(awayMs: number): void {
    if (awayMs >= MIN_OUTAGE_MS) this.#sinceRegained = new Stopwatch(this.#options.clock);
  }

  /**
   * Records that a worker has said in an answer that it is about to stop. Its registration may say so later, or never.
   *
   * @param startedAtMs - the start of the worker that answered
   * @param request - id of the answered request, for the log
   */
  markLeaving(id: string, startedAtMs: number, request: string): void {
    const latest = this.#latest.get(id);
    if (latest === undefined || latest.leaving || latest.startedAtMs !== startedAtMs) return;
    this.#latest.set(id, { ...latest, leaving: true });
    const worker = this.#workers.get(id);
    this.#options.logger.info('worker-leaving', {
      ...{ worker: id, pool: worker?.pool, request },
      registeredAsDraining: worker?.draining,
    });
    if (worker === undefined || worker.draining) return;
    this.#workers.set(id, { ...worker, draining: true });
    this.#notifyChange();
  }

  /** Applies a change of a registration. */
  applyEvent({ type, object }: PlatformEvent): void {
    const worker = type === 'written' ? this.#options.decode(object) : undefined;
    const id = object.key.slice(object.key.indexOf('/') + 1);
    if (worker !== undefined) this.#register(worker);
    else if (type === 'written') this.#dropUnreadable(id);
    else this.#handleRemoval(id);
  }

  [Symbol.dispose](): void {
    for (const timer of this.#lapseTimers.values()) timer[Symbol.dispose]();
  }

  #register(registration: RegisteredWorker): void {
    const latest = this.#latest.get(registration.id);
    if (latest !== undefined && isOlder(registration, latest)) {
      const { id, heartbeatCount } = registration;
      this.#options.logger.info('registration-outdated', { worker: id, heartbeatCount });
      return;
    }
    const sameStart = latest?.startedAtMs === registration.startedAtMs ? latest : undefined;
    const leaving = sameStart?.leaving ?? false;
    const { leavesInMs } = registration;
    const leavesAtMs =
      leavesInMs === undefined ? undefined : this.#options.clock.monotonicMs() + leavesInMs;
    const draining = registration.draining || leaving || leavesInMs !== undefined;
    const worker = { ...registration, draining };
    this.#trackLatest({
      ...{ ...registration, leaving },
      leavesAtMs: draining ? earliest(leavesAtMs, sameStart?.leavesAtMs) : undefined,
    });
    const known = this.#workers.get(worker.id);
    this.#cancelLapseTimer(worker.id);
    this.#workers.set(worker.id, worker);
    this.#notifyChange();
    if (known === undefined || known.draining !== worker.draining) {
      const { id, pool, address } = worker;
      const fields = { worker: id, pool, address, draining, leavesInMs };
      this.#options.logger.info('worker-registered', fields);
    }
  }

  #trackLatest({ id, ...start }: KnownStart & { id: string }): void {
    const { startedAtMs, heartbeatCount, leaving, leavesAtMs } = start;
    this.#latest.delete(id);
    this.#latest.set(id, { startedAtMs, heartbeatCount, leaving, leavesAtMs });
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
    logger.info('worker-registration-lapsed', { worker: id, graceMs: LAPSE_GRACE_MS });
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
