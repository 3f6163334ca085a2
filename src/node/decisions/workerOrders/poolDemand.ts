/** Work of one open batch. Work is measured in slot-ms: the time for which it occupies one slot of a worker. */
export interface BatchWork {
  readonly batchId: string;
  /** Batches of the same model follow each other as steps of its training. */
  readonly model: string;
  readonly waitingItems: number;
  readonly runningItems: number;
  /** Work left, in slot-ms. */
  readonly workMs: number;
  /** Time until the results are due, in ms; negative once it has passed. */
  readonly dueInMs: number;
}

/** Work that waits for the workers of a pool. */
export interface PoolDemand {
  readonly slotsPerWorker: number;
  readonly batches: readonly BatchWork[];
  /** Number of slots that the batches of the last steps occupy on average if their steps repeat. */
  readonly steadySlots: number;
}

/** How long a batch counts towards the steady load, in ms: three steps, so that one early or small step changes little. */
const ARRIVAL_WINDOW_MS = 12_000;

/** Interval assumed between the batches of a model until two of them have been seen, in ms: that of a training step. */
const DEFAULT_INTERVAL_MS = 4000;

/** Shorter intervals are taken for batches that were submitted together, in ms. */
const MIN_INTERVAL_MS = 1000;

/** Maximum number of remembered batches; the oldest is dropped. 12 s of nine trainers with steps of 4 s are 27. */
const MAX_ARRIVALS = 256;

interface Arrival {
  readonly batchId: string;
  readonly model: string;
  readonly workMs: number;
  readonly atMs: number;
}

/**
 * Estimates the load of a pool from the batches that its dispatcher reports. Addresses steps whose items arrive in
 * bursts: between two bursts nothing waits although the same work arrives again within seconds.
 */
export class DemandEstimate {
  readonly #arrivals = new Map<string, Arrival>();

  /** @param nowMs - monotonic time */
  record(slotsPerWorker: number, batches: readonly BatchWork[], nowMs: number): PoolDemand {
    for (const { batchId, model, workMs } of batches) {
      if (!this.#arrivals.has(batchId)) {
        this.#arrivals.set(batchId, { batchId, model, workMs, atMs: nowMs });
      }
    }
    const open = new Set(batches.map(({ batchId }) => batchId));
    for (const { batchId, atMs } of this.#arrivals.values()) {
      const isOld = nowMs - atMs > ARRIVAL_WINDOW_MS && !open.has(batchId);
      if (isOld || this.#arrivals.size > MAX_ARRIVALS) this.#arrivals.delete(batchId);
    }
    return { slotsPerWorker, batches, steadySlots: this.#steadySlots(nowMs) };
  }

  #steadySlots(nowMs: number): number {
    const recent = [...this.#arrivals.values()].filter(
      ({ atMs }) => nowMs - atMs <= ARRIVAL_WINDOW_MS,
    );
    const byModel = Map.groupBy(recent, ({ model }) => model);
    return [...byModel.values()].reduce((sum, arrivals) => {
      const first = arrivals[0]?.atMs ?? nowMs;
      const last = arrivals.at(-1)?.atMs ?? nowMs;
      const intervalMs =
        arrivals.length > 1 ? (last - first) / (arrivals.length - 1) : DEFAULT_INTERVAL_MS;
      const largestMs = Math.max(...arrivals.map(({ workMs }) => workMs));
      return sum + largestMs / Math.max(MIN_INTERVAL_MS, intervalMs);
    }, 0);
  }
}
