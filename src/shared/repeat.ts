import type { Clock } from './clock.ts';

/**
 * Calls `run` every `intervalMs`, the first time after `firstDelayMs`. A run that returns a promise delays the next one
 * until the promise has settled. `run` handles its own errors.
 *
 * @param intervalMs - a number, or a function asked after each run
 */
export const repeatEvery = (
  clock: Clock,
  intervalMs: number | (() => number),
  run: () => void | Promise<void>,
  firstDelayMs?: number,
): Disposable => {
  let timer: Disposable | undefined;
  let disposed = false;
  const nextDelayMs = () => (typeof intervalMs === 'number' ? intervalMs : intervalMs());
  const arm = (delayMs: number) => {
    timer = clock.schedule(delayMs, () => {
      const running = run();
      if (running === undefined) {
        if (!disposed) arm(nextDelayMs());
        return;
      }
      void running.finally(() => {
        if (!disposed) arm(nextDelayMs());
      });
    });
  };
  arm(firstDelayMs ?? nextDelayMs());
  return {
    [Symbol.dispose]() {
      disposed = true;
      timer?.[Symbol.dispose]();
    },
  };
};
