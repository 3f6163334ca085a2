/** A place among the trials of a pool. Disposing of it gives the place to the next one. */
export interface TrialSlot extends Disposable {
  /** Records that the worker has survived the trial, so that one more may run at the same time. */
  pass(): void;
}

interface PoolTrials {
  running: number;
  /** Number of trials that may run beyond the pool's capacity, because as many were survived. */
  extra: number;
  /** Starts the requests that wait, in order of arrival. */
  readonly waiting: (() => void)[];
}

const startWaiting = (trials: PoolTrials, capacity: number): void => {
  while (trials.running < capacity + trials.extra) {
    const start = trials.waiting.shift();
    if (start === undefined) return;
    Object.assign(trials, { running: trials.running + 1 });
    start();
  }
};

/** Limits how many suspected requests of a pool run at the same time. The limit grows with each that is survived. */
export class TrialSlots {
  /** Pools with trials in progress. */
  readonly #pools = new Map<string, PoolTrials>();

  /**
   * Waits for a slot of the pool. Undefined if `signal` was aborted first.
   *
   * @param capacity - number of slots of the pool
   */
  acquire(pool: string, capacity: number, signal: AbortSignal): Promise<TrialSlot | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    const trials = this.#pools.get(pool) ?? { running: 0, extra: 0, waiting: [] };
    this.#pools.set(pool, trials);
    const slot = this.#createSlot(pool, trials, capacity);
    if (trials.running < capacity + trials.extra) {
      trials.running += 1;
      return Promise.resolve(slot);
    }
    return new Promise((resolve) => {
      const leave = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        trials.waiting.splice(trials.waiting.indexOf(start), 1);
        resolve(undefined);
      };
      const start = () => {
        signal.removeEventListener('abort', leave);
        resolve(slot);
      };
      signal.addEventListener('abort', leave, { once: true });
      trials.waiting.push(start);
    });
  }

  /** Records that a worker ended during a trial: the limit is that of the pool's capacity again. */
  reset(pool: string): void {
    const trials = this.#pools.get(pool);
    if (trials !== undefined) trials.extra = 0;
  }

  #createSlot(pool: string, trials: PoolTrials, capacity: number): TrialSlot {
    return {
      pass: () => {
        Object.assign(trials, { extra: trials.extra + 1 });
        startWaiting(trials, capacity);
      },
      [Symbol.dispose]: () => {
        Object.assign(trials, { running: trials.running - 1 });
        startWaiting(trials, capacity);
        if (trials.running === 0) this.#pools.delete(pool);
      },
    };
  }
}
