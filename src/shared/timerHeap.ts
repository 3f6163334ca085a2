/** A timer of the virtual clock. */
export interface VirtualTimer {
  readonly dueMs: number;
  /** Position in scheduling order; breaks ties between timers that are due at the same time. */
  readonly sequence: number;
  readonly callback: () => void;
  cancelled: boolean;
}

const isBefore = (first: VirtualTimer, second: VirtualTimer): boolean =>
  first.dueMs < second.dueMs || (first.dueMs === second.dueMs && first.sequence < second.sequence);

/** Timers by due time. A binary heap, because models with thousands of timers look up the next one at every event. */
export class TimerHeap {
  readonly #timers: VirtualTimer[] = [];

  push(timer: VirtualTimer): void {
    const timers = this.#timers;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = timers[parentIndex];
      if (!parent || isBefore(parent, timer)) break;
      timers[index] = parent;
      index = parentIndex;
    }
    timers[index] = timer;
  }

  /** The next timer that is not cancelled. */
  peek(): VirtualTimer | undefined {
    while (this.#timers[0]?.cancelled) this.pop();
    return this.#timers[0];
  }

  /** Removes the first timer. */
  pop(): void {
    const timers = this.#timers;
    const last = timers.pop();
    if (!last || timers.length === 0) return;
    let index = 0;
    for (;;) {
      const leftIndex = 2 * index + 1;
      const left = timers[leftIndex];
      if (!left) break;
      const right = timers[leftIndex + 1];
      const childIndex = right && isBefore(right, left) ? leftIndex + 1 : leftIndex;
      const child = timers[childIndex] ?? left;
      if (isBefore(last, child)) break;
      timers[index] = child;
      index = childIndex;
    }
    timers[index] = last;
  }
}
