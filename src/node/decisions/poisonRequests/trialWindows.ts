/** A run of a suspected request at a worker. */
export interface Trial {
  /** Whether no other trial that had not survived was at the worker at the same time. */
  readonly isAlone: boolean;
}

interface Window {
  /** Trials that have neither survived nor ended. */
  readonly young: Set<{ isAlone: boolean }>;
  /** Number of trials that the worker has survived. */
  passed: number;
}

/** Number of ends of workers from which a suspected request starts only where no other trial is young. */
export const MIN_ENDS_TO_RUN_ALONE = 2;

/** Maximum number of workers with a window: three times the workers of the design size. */
const MAX_WINDOWS = 33_000;

/**
 * Slow start of suspected requests at each worker: one at first, then one more for each that the worker has survived, so
 * that the number doubles each time.
 *
 * Load: all workers of a pool are lost, and everything that ran there is suspected. Started one after the other, 88 items
 * on four workers waited for up to 6.4 s. Started all at once, a deadly one among them takes its worker down again, and
 * nobody knows which one it was.
 */
export class TrialWindows {
  readonly #windows = new Map<string, Window>();

  /** Number of suspected requests that may start at the worker now. */
  roomAt(worker: string): number {
    const window = this.#windows.get(worker);
    return window === undefined ? 1 : Math.max(0, 1 + window.passed - window.young.size);
  }

  /** Whether a trial at the worker has not survived yet. */
  hasYoungAt(worker: string): boolean {
    return (this.#windows.get(worker)?.young.size ?? 0) > 0;
  }

  start(worker: string): Trial {
    const window = this.#windows.get(worker) ?? { young: new Set(), passed: 0 };
    this.#windows.delete(worker);
    this.#windows.set(worker, window);
    const trial = { isAlone: window.young.size === 0 };
    for (const other of window.young) other.isAlone = false;
    window.young.add(trial);
    this.#evict();
    return trial;
  }

  /** Records that the worker has survived a trial. Has an effect once. */
  pass(worker: string, trial: Trial): void {
    const window = this.#windows.get(worker);
    if (window?.young.delete(trial)) window.passed += 1;
  }

  /** Records that a trial ended without a result. */
  end(worker: string, trial: Trial): void {
    this.#windows.get(worker)?.young.delete(trial);
  }

  /** Records that the worker ended. */
  reset(worker: string): void {
    this.#windows.delete(worker);
  }

  #evict(): void {
    const [oldest] = this.#windows.keys();
    if (this.#windows.size > MAX_WINDOWS && oldest !== undefined) this.#windows.delete(oldest);
  }
}
