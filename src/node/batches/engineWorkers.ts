import type { Clock } from '../../shared/clock.ts';
import type { PlacementWorker } from '../decisions/itemPlacement.ts';
import type { SharedWorker } from '../decisions/workerShares.ts';
import type { FreeSlots } from '../decisions/runRelocation.ts';
import { WorkerPace } from '../decisions/workerPace.ts';
import { type WorkerResult, WorkerTrust } from '../decisions/workerTrust.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import { MAX_STALL_MS, MIN_STALL_MS, STALL_GAPS } from './constants.ts';

export interface EngineWorkersOptions {
  readonly clock: Clock;
  readonly pool: string;
  readonly registry: WorkerRegistry;
  readonly weights: WeightLoads;
  readonly engine: () => EnginePool | undefined;
}

/** What a dispatcher knows of its pool's workers: their pace, whether they can be trusted, and what they have read. */
export class EngineWorkers {
  readonly #options: EngineWorkersOptions;

  readonly #pace = new WorkerPace();

  readonly #trust = new WorkerTrust();

  /** Until when a worker gets no items, monotonic ms. */
  readonly #pausedUntilMs = new Map<string, number>();

  /** Prompts that each worker has read. */
  readonly #prompts = new Map<string, Set<string>>();

  constructor(options: EngineWorkersOptions) {
    this.#options = options;
  }

  /** Workers of the pool that may get new work. */
  registered(): readonly RegisteredWorker[] {
    const { registry, pool } = this.#options;
    return registry.usable(pool);
  }

  /** Takes in the registrations of the pool's workers. */
  changed(): void {
    const { registry, pool, weights } = this.#options;
    for (const worker of registry.all()) if (worker.pool === pool) weights.registered(worker);
    const isKnown = (id: string) => registry.find(id) !== undefined;
    weights.retain(isKnown);
    this.#trust.retain(isKnown);
    this.#pace.retain(isKnown);
    for (const id of this.#prompts.keys()) if (!isKnown(id)) this.#prompts.delete(id);
    for (const id of this.#pausedUntilMs.keys()) if (!isKnown(id)) this.#pausedUntilMs.delete(id);
  }

  /** The workers as the placement of items sees them. */
  forPlacement(running: ReadonlyMap<string, number>): PlacementWorker[] {
    const { clock, weights } = this.#options;
    const nowMs = clock.monotonicMs();
    return this.#trust
      .usable(this.registered(), nowMs)
      .filter(({ id }) => !this.#isPaused(id, nowMs))
      .map((worker) => ({
        id: worker.id,
        freeSlots: this.#roomOf(worker, running),
        running: running.get(worker.id) ?? 0,
        paceFactor: this.#pace.factorOf(worker.id, nowMs),
        versionOf: (model) => weights.versionOf(worker.id, model),
        holdsPrompt: (prompt) => this.#prompts.get(worker.id)?.has(prompt) ?? false,
      }));
  }

  /** The workers as the sharing among models sees them. */
  forSharing(runningOf: (worker: string) => (model: string) => number): SharedWorker[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.registered().map(({ id }) => ({
      id,
      capacity: this.#trust.isSuspended(id, nowMs) ? 0 : 1 / this.#pace.factorOf(id, nowMs),
      runningOf: runningOf(id),
    }));
  }

  isSlow(worker: string): boolean {
    return this.#pace.isSlow(worker, this.#options.clock.monotonicMs());
  }

  /** Free slots of workers that could take over a slow worker's runs: none of those that failed lately. */
  freeSlots(running: ReadonlyMap<string, number>): FreeSlots[] {
    const nowMs = this.#options.clock.monotonicMs();
    const isDoubtful = (id: string) =>
      this.#trust.isSuspended(id, nowMs) ||
      this.#trust.isUntrusted(id, nowMs) ||
      this.#isPaused(id, nowMs);
    return this.registered()
      .filter(({ id }) => !this.isSlow(id) && !isDoubtful(id))
      .map((worker) => ({ id: worker.id, room: this.#roomOf(worker, running) }));
  }

  /** Time without an event after which a run counts as stalled, in ms. */
  get stallMs(): number {
    const usualMs = this.#pace.usualGapMs ?? MAX_STALL_MS / STALL_GAPS;
    return Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, usualMs * STALL_GAPS));
  }

  /** The worker reads a prompt. */
  reads(worker: string, prompt: string): void {
    const prompts = this.#prompts.get(worker) ?? new Set();
    this.#prompts.set(worker, prompts.add(prompt));
  }

  /** Time between two events of a run. */
  gap(worker: string, gapMs: number): void {
    this.#pace.record(worker, gapMs, this.#options.clock.monotonicMs());
  }

  /** How a run went. */
  record(worker: string, result: WorkerResult): void {
    this.#trust.record(worker, result, this.#options.clock.monotonicMs());
  }

  /** Gives the worker no items for a while. */
  pause(worker: string, forMs: number): void {
    this.#pausedUntilMs.set(worker, this.#options.clock.monotonicMs() + forMs);
  }

  #isPaused(worker: string, nowMs: number): boolean {
    return (this.#pausedUntilMs.get(worker) ?? -Infinity) > nowMs;
  }

  #roomOf(worker: RegisteredWorker, running: ReadonlyMap<string, number>): number {
    const slots = this.#options.engine()?.slots ?? worker.slots;
    return slots - (running.get(worker.id) ?? 0);
  }
}
