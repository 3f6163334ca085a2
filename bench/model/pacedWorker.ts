import type { VirtualClock } from '../../src/shared/virtualClock.ts';

/** Number of requests that a worker runs at the same time. */
export const SLOTS = 6;

/** Number of requests that wait at a worker; it refuses the rest. */
const QUEUE = 24;

/** Interval at which a worker's pace may change, in ms. */
export const PACE_STEP_MS = 100;

/** After this time, in ms, work is no longer followed; no model lasts longer. */
const MAX_WORK_END_MS = 600_000;

export interface Job {
  readonly workMs: number;
  readonly done: () => void;
}

/** A worker with slots, a bounded queue and a pace that changes while it works. */
export class PacedWorker {
  readonly #clock: VirtualClock;

  readonly #paces: readonly number[];

  readonly #running = new Map<Job, Disposable>();

  readonly #queue: Job[] = [];

  /** @param paces - time that work takes relative to the usual, in steps of `PACE_STEP_MS` */
  constructor(clock: VirtualClock, paces: readonly number[]) {
    this.#clock = clock;
    this.#paces = paces;
  }

  get running(): number {
    return this.#running.size;
  }

  /** Requests running and waiting. */
  get load(): number {
    return this.#running.size + this.#queue.length;
  }

  get pace(): number {
    return this.#paceAt(this.#clock.monotonicMs());
  }

  /** @returns a function that ends the job early; undefined when the worker refuses it */
  offer(job: Job): (() => void) | undefined {
    if (this.#running.size < SLOTS) this.#run(job);
    else if (this.#queue.length < QUEUE) this.#queue.push(job);
    else return undefined;
    return () => this.#cancel(job);
  }

  #paceAt(atMs: number): number {
    return this.#paces[Math.floor(atMs / PACE_STEP_MS) % this.#paces.length] ?? 1;
  }

  #cancel(job: Job): void {
    const timer = this.#running.get(job);
    if (timer === undefined) {
      const index = this.#queue.indexOf(job);
      if (index >= 0) this.#queue.splice(index, 1);
      return;
    }
    timer[Symbol.dispose]();
    this.#finish(job);
  }

  #finish(job: Job): void {
    this.#running.delete(job);
    const next = this.#queue.shift();
    if (next !== undefined) this.#run(next);
  }

  #run(job: Job): void {
    let atMs = this.#clock.monotonicMs();
    let leftMs = job.workMs;
    while (leftMs > 1e-9 && atMs < MAX_WORK_END_MS) {
      const stepEndMs = (Math.floor(atMs / PACE_STEP_MS + 1e-9) + 1) * PACE_STEP_MS;
      const pace = this.#paceAt(atMs + 1e-6);
      const takenMs = Math.min(stepEndMs - atMs, pace === Infinity ? Infinity : leftMs * pace);
      leftMs -= pace === Infinity ? 0 : takenMs / pace;
      atMs += takenMs;
    }
    const timer = this.#clock.schedule(atMs - this.#clock.monotonicMs(), () => {
      this.#finish(job);
      job.done();
    });
    this.#running.set(job, timer);
  }
}
