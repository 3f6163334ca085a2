/** Shortest and longest time for which a run must generate to clear what it runs, in ms. */
const MIN_SURVIVAL_MS = 250;
export const MAX_SURVIVAL_MS = 1000;

/** Factor by which a run must outlive the runs under which workers ended. */
export const OUTLIVE_FACTOR = 1.5;

/**
 * Time after which a worker that generates events has survived a run, in ms. A request that ends its workers does so at
 * about the same time in each run, so a run must outlive those before it.
 *
 * @param longestMs - longest time for which a run had lasted when its worker ended, in ms; 0 if there is none
 */
export const survivalMs = (longestMs: number): number =>
  Math.min(MAX_SURVIVAL_MS, Math.max(MIN_SURVIVAL_MS, OUTLIVE_FACTOR * longestMs));
