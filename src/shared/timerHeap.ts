/** A timer of the virtual clock. */
export interface VirtualTimer {
  readonly dueMs: number;
  /** Order of scheduling; decides between timers that are due at the same time. */
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

const isBefore = (first: VirtualTimer, second: VirtualTimer): boolean =>
  first.dueMs < second.dueMs || (first.dueMs === second.dueMs && first.order < second.order);

/** Timers by due time, as a binary heap: models with thousands of timers look for the next one at every event. */
export class TimerHeap {
  readonly #items: VirtualTimer[] = [];

  push(timer: VirtualTimer): void {
    const items = this.#items;
    let at = items.length;
    items.push(timer);
    while (at > 0) {
      const parentAt = Math.floor((at - 1) / 2);
      const parent = items[parentAt];
      if (!parent || isBefore(parent, timer)) break;
      items[at] = parent;
      at = parentAt;
    }
    items[at] = timer;
  }

  /** The next timer that is not cancelled. */
  peek(): VirtualTimer | undefined {
    while (this.#items[0]?.cancelled) this.pop();
    return this.#items[0];
  }

  /** Removes the first timer. */
  pop(): void {
    const items = this.#items;
    const last = items.pop();
    if (!last || items.length === 0) return;
    let at = 0;
    for (;;) {
      const leftAt = 2 * at + 1;
      const left = items[leftAt];
      if (!left) break;
      const right = items[leftAt + 1];
      const childAt = right && isBefore(right, left) ? leftAt + 1 : leftAt;
      const child = items[childAt] ?? left;
      if (isBefore(last, child)) break;
      items[at] = child;
      at = childAt;
    }
    items[at] = last;
  }
}
