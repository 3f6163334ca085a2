interface PoolTrials {
  running: number;
  /** Starts the requests that wait, in order of arrival. */
  readonly waiting: (() => void)[];
}

/** Limits how many suspected requests of a pool run at the same time. */
export class TrialSlots {
  /** Pools with trials in progress. */
  readonly #pools = new Map<string, PoolTrials>();

  /**
   * Waits for a slot of the pool. The result releases it; undefined if `signal` was aborted first.
   *
   * @param capacity - number of slots of the pool
   */
  acquire(pool: string, capacity: number, signal: AbortSignal): Promise<Disposable | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    const trials = this.#pools.get(pool) ?? { running: 0, waiting: [] };
    this.#pools.set(pool, trials);
    const slot = { [Symbol.dispose]: () => this.#release(pool, trials) };
    if (trials.running < capacity) {
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

  #release(pool: string, trials: PoolTrials): void {
    const start = trials.waiting.shift();
    if (start !== undefined) {
      start();
      return;
    }
    Object.assign(trials, { running: trials.running - 1 });
    if (trials.running === 0) this.#pools.delete(pool);
  }
}
