import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { WorkerSelector } from '../decisions/workerSelection.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

export interface WorkerSlotsOptions {
  /** Returns the workers that may get work now. */
  readonly workers: () => readonly WorkerEndpoint[];
  /** Maximum number of samples in progress on one worker. */
  readonly maxPerWorker: () => number;
  readonly select: WorkerSelector;
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly random: Random;
}

/** Time for which a worker gets no new sample after a generation on it failed, in ms. */
const AVOID_MS = 1000;

/** Maximum number of free workers that are passed to the selector. */
const MAX_CANDIDATES = 32;

/** Bounds the samples in progress on each worker and skips workers that failed recently. */
export class WorkerSlots {
  readonly #options: WorkerSlotsOptions;

  readonly #inFlight = new Map<string, number>();

  /** Address → monotonic time until which the worker is avoided. At most one entry for each listed worker. */
  readonly #avoided = new Map<string, number>();

  constructor(options: WorkerSlotsOptions) {
    this.#options = options;
  }

  /** Acquires a slot on a worker; returns undefined when no worker has a free slot. */
  acquire(): WorkerEndpoint | undefined {
    const { select, availabilityZone, random } = this.#options;
    const worker = select(this.#candidates(), { availabilityZone, random });
    if (worker === undefined) return undefined;
    this.#inFlight.set(worker.address, this.#inFlightOf(worker) + 1);
    const { name, address, availabilityZone: zone } = worker;
    return { name, address, availabilityZone: zone };
  }

  release(worker: WorkerEndpoint): void {
    const next = this.#inFlightOf(worker) - 1;
    if (next > 0) this.#inFlight.set(worker.address, next);
    else this.#inFlight.delete(worker.address);
  }

  /** Skips the worker for `AVOID_MS`. */
  avoid(worker: WorkerEndpoint): void {
    const listed = new Set(this.#options.workers().map(({ address }) => address));
    for (const address of this.#avoided.keys()) {
      if (!listed.has(address)) this.#avoided.delete(address);
    }
    this.#avoided.set(worker.address, this.#options.clock.monotonicMs() + AVOID_MS);
  }

  /** Collects free workers from a random index on, so that not every sample requires a scan of a large pool. */
  #candidates() {
    const { workers, maxPerWorker, clock, random } = this.#options;
    const listed = workers();
    const nowMs = clock.monotonicMs();
    const limit = maxPerWorker();
    const first = Math.floor(random() * listed.length);
    const found: (WorkerEndpoint & { readonly inFlight: number })[] = [];
    for (let step = 0; step < listed.length && found.length < MAX_CANDIDATES; step += 1) {
      const worker = listed[(first + step) % listed.length];
      if (worker === undefined) break;
      const inFlight = this.#inFlightOf(worker);
      const avoided = (this.#avoided.get(worker.address) ?? 0) > nowMs;
      if (inFlight < limit && !avoided) found.push({ ...worker, inFlight });
    }
    return found;
  }

  #inFlightOf(worker: WorkerEndpoint): number {
    return this.#inFlight.get(worker.address) ?? 0;
  }
}
