import type { Clock } from './clock.ts';
import { TimerHeap, type VirtualTimer } from './timerHeap.ts';

/** A clock that advances only on request. For tests and models. */
export class VirtualClock implements Clock {
  #nowMs: number;

  #wallOffsetMs = 0;

  #scheduledCount = 0;

  readonly #timers = new TimerHeap();

  /** @param startMs - initial value of both clocks, in ms */
  constructor(startMs = 1_700_000_000_000) {
    this.#nowMs = startMs;
  }

  nowMs(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  monotonicMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    this.#scheduledCount += 1;
    const timer: VirtualTimer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#scheduledCount,
      callback,
      cancelled: false,
    };
    this.#timers.push(timer);
    return {
      [Symbol.dispose]() {
        timer.cancelled = true;
      },
    };
  }

  /** Shifts only the wall clock, as a clock adjustment by the operating system does. */
  shiftWallClock(byMs: number): void {
    this.#wallOffsetMs += byMs;
  }

  /** Time in ms until the next timer is due; undefined when no timer is scheduled. */
  nextTimerInMs(): number | undefined {
    const next = this.#nextTimer();
    return next === undefined ? undefined : next.dueMs - this.#nowMs;
  }

  /** Advances time by `byMs` and runs the timers that become due, in order. */
  advance(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    for (let next = this.#nextTimer(); next && next.dueMs <= endMs; next = this.#nextTimer()) {
      this.#timers.pop();
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.callback();
    }
    this.#nowMs = endMs;
  }

  /** Like `advance`, but lets pending promise reactions run between timers. */
  async advanceAsync(byMs: number): Promise<void> {
    const endMs = this.#nowMs + byMs;
    const runPendingReactions = () =>
      new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    await runPendingReactions();
    for (let next = this.#nextTimer(); next && next.dueMs <= endMs; next = this.#nextTimer()) {
      this.#timers.pop();
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.callback();
      await runPendingReactions();
    }
    this.#nowMs = endMs;
    await runPendingReactions();
  }

  #nextTimer(): VirtualTimer | undefined {
    return this.#timers.peek();
  }
}
