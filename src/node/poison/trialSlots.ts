interface Waiter {
  readonly start: () => void;
}

/** Lets one suspected request of a pool run at a time, in order of arrival. */
export class TrialSlots {
  /** Requests that wait, by pool; a pool without an entry has no trial in progress. */
  readonly #waiting = new Map<string, Waiter[]>();

  /** Waits for the pool's slot. The result releases it; undefined if `signal` was aborted first. */
  acquire(pool: string, signal: AbortSignal): Promise<Disposable | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    const slot = { [Symbol.dispose]: () => this.#release(pool) };
    const waiting = this.#waiting.get(pool);
    if (waiting === undefined) {
      this.#waiting.set(pool, []);
      return Promise.resolve(slot);
    }
    return new Promise((resolve) => {
      const leave = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        const index = waiting.indexOf(waiter);
        if (index >= 0) waiting.splice(index, 1);
        resolve(undefined);
      };
      const waiter = {
        start: () => {
          signal.removeEventListener('abort', leave);
          resolve(slot);
        },
      };
      signal.addEventListener('abort', leave, { once: true });
      waiting.push(waiter);
    });
  }

  #release(pool: string): void {
    const next = this.#waiting.get(pool)?.shift();
    if (next === undefined) this.#waiting.delete(pool);
    else next.start();
  }
}
