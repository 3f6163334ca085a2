import type { Clock } from '../../shared/clock.ts';
import type { PlacementWorker } from '../decisions/items/itemPlacement.ts';
import type { AssignableWorker } from '../decisions/workerAssignment.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { FreeSlots } from '../decisions/runRelocation.ts';
import { EventGapTracker } from '../decisions/eventGapTracker.ts';
import { type WorkerResult, PassiveHealthCheck } from '../decisions/passiveHealthCheck.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import { MAX_STALL_MS, MIN_STALL_MS, STALL_GAP_FACTOR } from './constants.ts';

export interface EngineWorkersOptions {
  readonly clock: Clock;
  readonly pool: string;
  readonly registry: WorkerRegistry;
  readonly weights: WeightLoads;
  readonly limits: Pick<RequestLimits, 'of'>;
  readonly engine: () => EnginePool | undefined;
  /** Newest published weight version of a model. */
  readonly newestVersion: (model: string) => number;
  /** Number of items that the request limit of a worker allows to start now. */
  readonly permitsOf: (worker: string) => number;
}

/** A worker with a request limit and free slots. */
export interface LimitedWorker extends Pick<PlacementWorker, 'freeSlots' | 'versionOf'> {
  readonly worker: RegisteredWorker;
}

/** Tracks the workers of a dispatcher's pool: their speed, their failures, and the prompts they have processed. */
export class EngineWorkers {
  readonly #options: EngineWorkersOptions;

  readonly #eventGaps = new EventGapTracker();

  readonly #health = new PassiveHealthCheck();

  /** Monotonic time in ms until which a worker gets no items, by worker. */
  readonly #pausedUntilMs = new Map<string, number>();

  /** When each registered worker started, by worker. */
  readonly #startedAtMs = new Map<string, number>();

  /** Prompts that each worker has processed, by worker. */
  readonly #prompts = new Map<string, Set<string>>();

  constructor(options: EngineWorkersOptions) {
    this.#options = options;
  }

  /** Workers of the pool that may receive new work. */
  usable(): readonly RegisteredWorker[] {
    const { registry, pool } = this.#options;
    return registry.usable(pool);
  }

  /**
   * Applies new registrations of the pool's workers and drops the state of workers that are no longer registered, or that
   * have started again under their id: what is known of a former start says nothing of the present one.
   */
  registrationsChanged(): void {
    const { registry, pool, weights } = this.#options;
    for (const worker of registry.all()) if (worker.pool === pool) weights.register(worker);
    const isKnown = (id: string) => registry.find(id) !== undefined;
    weights.retain(isKnown);
    const isSameStart = (id: string) => {
      const startedAtMs = registry.find(id)?.startedAtMs;
      return (
        startedAtMs !== undefined && (this.#startedAtMs.get(id) ?? startedAtMs) === startedAtMs
      );
    };
    this.#health.retain(isSameStart);
    this.#eventGaps.retain(isSameStart);
    for (const id of this.#prompts.keys()) if (!isSameStart(id)) this.#prompts.delete(id);
    for (const id of this.#pausedUntilMs.keys()) {
      if (!isSameStart(id)) this.#pausedUntilMs.delete(id);
    }
    for (const id of this.#startedAtMs.keys()) if (!isKnown(id)) this.#startedAtMs.delete(id);
    for (const { id, pool: other, startedAtMs } of registry.all()) {
      if (other === pool) this.#startedAtMs.set(id, startedAtMs);
    }
  }

  /** The workers that may get items, in the form that the item placement needs. */
  forPlacement(running: ReadonlyMap<string, number>): PlacementWorker[] {
    const { clock, weights } = this.#options;
    const nowMs = clock.monotonicMs();
    return this.#health
      .selectUsable(this.usable(), nowMs)
      .filter(({ id }) => !this.#isPaused(id, nowMs))
      .map((worker) => ({
        id: worker.id,
        freeSlots: this.#freeSlotsOf(worker, running),
        running: running.get(worker.id) ?? 0,
        slowdown: this.#eventGaps.slowdownOf(worker.id, nowMs),
        versionOf: (model) => weights.versionOf(worker.id, model),
        hasProcessedPrompt: (prompt) => this.#prompts.get(worker.id)?.has(prompt) ?? false,
      }));
  }

  /** Versions of a model that the workers have, or that they are loading. */
  weightVersions(model: string): number[] {
    const { weights, newestVersion } = this.#options;
    return this.usable().flatMap(({ id }) => {
      const version = weights.versionOf(id, model);
      if (version !== undefined) return [version];
      return weights.isLoading(id) ? [newestVersion(model)] : [];
    });
  }

  /** The workers in the form that `assignWorkersToModels` needs. */
  forAssignment(runningOf: (worker: string) => (model: string) => number): AssignableWorker[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.usable().map(({ id }) => ({
      id,
      capacity: this.#health.isSuspended(id, nowMs) ? 0 : 1 / this.#eventGaps.slowdownOf(id, nowMs),
      runningOf: runningOf(id),
    }));
  }

  /** Number of items that the request limit of a worker allows to start now. */
  permitsOf(worker: string): number {
    return this.#options.permitsOf(worker);
  }

  /** Weight version under which a worker accepts runs of a model; undefined while it accepts none. */
  versionOf(worker: string, model: string): number | undefined {
    return this.#options.weights.versionOf(worker, model);
  }

  isSlow(worker: string): boolean {
    return this.#eventGaps.isSlow(worker, this.#options.clock.monotonicMs());
  }

  /** Free slots of workers that may take over a slow worker's runs. Excludes workers that failed recently. */
  freeSlots(running: ReadonlyMap<string, number>): FreeSlots[] {
    const nowMs = this.#options.clock.monotonicMs();
    const isUnreliable = (id: string) =>
      this.#health.isSuspended(id, nowMs) ||
      this.#health.isAvoided(id, nowMs) ||
      this.#isPaused(id, nowMs);
    return this.usable()
      .filter(({ id }) => !this.isSlow(id) && !isUnreliable(id))
      .map((worker) => ({ id: worker.id, freeSlots: this.#freeSlotsOf(worker, running) }));
  }

  /** Time without an event after which a run counts as stalled, in ms. */
  get stallMs(): number {
    return Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, this.eventGapMs * STALL_GAP_FACTOR));
  }

  /** Typical time between two events of a run, in ms. */
  get eventGapMs(): number {
    return this.#eventGaps.medianGapMs ?? MAX_STALL_MS / STALL_GAP_FACTOR;
  }

  /** Typical time between two events of a run, in ms; 0 while it has not been measured. */
  get measuredGapMs(): number {
    return this.#eventGaps.medianGapMs ?? 0;
  }

  /** Records that a worker processes a prompt. */
  recordPrompt(worker: string, prompt: string): void {
    const prompts = this.#prompts.get(worker) ?? new Set();
    this.#prompts.set(worker, prompts.add(prompt));
  }

  /** Records the time between two events of a run. */
  recordGap(worker: string, gapMs: number): void {
    this.#eventGaps.record(worker, gapMs, this.#options.clock.monotonicMs());
  }

  /** Records the outcome of a run. */
  recordResult(worker: string, result: WorkerResult): void {
    this.#health.record(worker, result, this.#options.clock.monotonicMs());
  }

  /** Gives the worker no items for a while. */
  pause(worker: string, forMs: number): void {
    this.#pausedUntilMs.set(worker, this.#options.clock.monotonicMs() + forMs);
  }

  #isPaused(worker: string, nowMs: number): boolean {
    return (this.#pausedUntilMs.get(worker) ?? -Infinity) > nowMs;
  }

  /** Sound workers with free slots, whatever their request limits. */
  withFreeSlots(running: ReadonlyMap<string, number>) {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#health
      .selectUsable(this.usable(), nowMs)
      .filter(({ id }) => !this.#isPaused(id, nowMs))
      .map((worker) => ({ worker, freeSlots: this.#slotsLeft(worker, running) }))
      .filter(({ freeSlots }) => freeSlots > 0);
  }

  /** Workers with slots that only their request limits may keep free. */
  limitedWithFreeSlots(running: ReadonlyMap<string, number>): LimitedWorker[] {
    const { limits } = this.#options;
    return this.withFreeSlots(running)
      .filter(({ worker }) => limits.of(worker.id) !== undefined)
      .map((free) => ({ ...free, versionOf: (model) => this.versionOf(free.worker.id, model) }));
  }

  #freeSlotsOf(worker: RegisteredWorker, running: ReadonlyMap<string, number>): number {
    return Math.min(this.#slotsLeft(worker, running), this.#options.permitsOf(worker.id));
  }

  #slotsLeft(worker: RegisteredWorker, running: ReadonlyMap<string, number>): number {
    const slots = this.#options.engine()?.slots ?? worker.slots;
    return slots - (running.get(worker.id) ?? 0);
  }
}
