import type { Clock } from '../../shared/clock.ts';
import type { CallBudget } from './callBudget.ts';

/** Largest number of bulk calls in progress; each may receive an object of the largest size. */
const MAX_BULK_CALLS = 8;

interface WaitingCall {
  readonly order: number;
  readonly start: () => void;
}

/**
 * Queue of the bulk calls of a node. Instead of failing, they wait until the call budget has room for them, and those of a lower
 * order go first, so that a large reading is finished before the next one begins.
 */
export class BulkCalls {
  readonly #clock: Clock;

  readonly #budget: Pick<CallBudget, 'tryReserveBulk'>;

  #waiting: WaitingCall[] = [];

  #callsInProgress = 0;

  #isTimerSet = false;

  constructor(clock: Clock, budget: Pick<CallBudget, 'tryReserveBulk'>) {
    this.#clock = clock;
    this.#budget = budget;
  }

  /**
   * Waits until a call may start.
   *
   * @param order - calls of lower orders start first, those of the same order one after the other
   * @returns to be disposed of when the call has ended; undefined when `signal` is aborted before the call may start
   */
  acquire(order: number, signal: AbortSignal | undefined): Promise<Disposable | undefined> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve(undefined);
        return;
      }
      const cancel = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        this.#waiting = this.#waiting.filter((other) => other !== call);
        resolve(undefined);
      };
      const call: WaitingCall = {
        order,
        start: () => {
          signal?.removeEventListener('abort', cancel);
          resolve({ [Symbol.dispose]: () => this.#end() });
        },
      };
      signal?.addEventListener('abort', cancel, { once: true });
      const index = this.#waiting.findLastIndex((other) => other.order <= order) + 1;
      this.#waiting.splice(index, 0, call);
      this.#startCalls();
    });
  }

  #startCalls(): void {
    while (!this.#isTimerSet && this.#callsInProgress < MAX_BULK_CALLS) {
      if (this.#waiting.length === 0) return;
      const waitMs = this.#budget.tryReserveBulk();
      if (waitMs > 0) {
        this.#isTimerSet = true;
        this.#clock.schedule(waitMs, () => {
          this.#isTimerSet = false;
          this.#startCalls();
        });
        return;
      }
      this.#callsInProgress += 1;
      this.#waiting.shift()?.start();
    }
  }

  #end(): void {
    this.#callsInProgress -= 1;
    this.#startCalls();
  }
}
