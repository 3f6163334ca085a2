import type { Clock } from './clock.ts';

/**
 * Calls `run` every `intervalMs`, the first time after `firstDelayMs`. A run that returns a promise delays the next one
 * until the promise has settled. `run` handles its own errors.
 *
 * @param intervalMs - a number, or a function that is called after each run
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
  const scheduleRun = (delayMs: number) => {
    timer = clock.schedule(delayMs, () => {
      const running = run();
      if (running === undefined) {
        if (!disposed) scheduleRun(nextDelayMs());
        return;
      }
      void running.finally(() => {
        if (!disposed) scheduleRun(nextDelayMs());
      });
    });
  };
  scheduleRun(firstDelayMs ?? nextDelayMs());
  return {
    [Symbol.dispose]() {
      disposed = true;
      timer?.[Symbol.dispose]();
    },
  };
};
