import { MAX_ACCOUNTS, MAX_NODES, MAX_WINDOWS, MAX_WINDOWS_AHEAD } from './constants.ts';
import type { CountedWindow } from './usageCounts.ts';

/** Cumulative counts of one incarnation of a node. */
export interface NodeUsage {
  readonly incarnation: string;
  readonly windows: readonly CountedWindow[];
  /** Wall-clock time up to which the counts are complete, in ms since the Unix epoch. */
  readonly completeUntilMs: number;
}

interface NodeEntry {
  /** Earliest window that the node has counted. */
  firstWindow: number;
  completeUntilMs: number;
  readonly windows: Map<number, Map<string, number>>;
}

/** Total of a window. */
export interface WindowTotal {
  readonly counts: ReadonlyMap<string, number>;
  /** Number of accounts beyond the bound that are left out, the smallest first. */
  readonly droppedAccounts: number;
}

/**
 * Counts of all nodes as reported to this one. Counts are cumulative, so that of several messages the largest count for
 * each incarnation, window and account holds: late, repeated and lost messages change nothing.
 */
export class UsageLedger {
  readonly #nodes = new Map<string, NodeEntry>();

  /**
   * Takes in what a node counted.
   *
   * @param currentWindow - by the receiver's clock; windows that are far from it are ignored
   */
  merge({ incarnation, windows, completeUntilMs }: NodeUsage, currentWindow: number): void {
    const known = this.#nodes.get(incarnation);
    if (known === undefined && this.#nodes.size >= MAX_NODES) return;
    const entry = known ?? { firstWindow: Infinity, completeUntilMs: 0, windows: new Map() };
    this.#nodes.set(incarnation, entry);
    entry.completeUntilMs = Math.max(entry.completeUntilMs, completeUntilMs);
    for (const { window, requests } of windows) {
      if (window > currentWindow + MAX_WINDOWS_AHEAD) continue;
      entry.firstWindow = Math.min(entry.firstWindow, window);
      if (window <= currentWindow - MAX_WINDOWS) continue;
      const counts = entry.windows.get(window) ?? new Map<string, number>();
      entry.windows.set(window, counts);
      for (const [account, count] of requests) {
        if (counts.size >= MAX_ACCOUNTS && !counts.has(account)) continue;
        counts.set(account, Math.max(counts.get(account) ?? 0, count));
      }
    }
  }

  /** Drops windows that are no longer kept, and nodes without any. */
  sweep(currentWindow: number): void {
    for (const [incarnation, { windows }] of this.#nodes) {
      for (const window of windows.keys()) {
        if (window <= currentWindow - MAX_WINDOWS) windows.delete(window);
      }
      if (windows.size === 0) this.#nodes.delete(incarnation);
    }
  }

  /** Requests by account of all nodes in a window. Of too many accounts, those with the most requests are kept. */
  totalOf(window: number): WindowTotal {
    const sums = new Map<string, number>();
    for (const { windows } of this.#nodes.values()) {
      for (const [account, count] of windows.get(window) ?? []) {
        sums.set(account, (sums.get(account) ?? 0) + count);
      }
    }
    if (sums.size <= MAX_ACCOUNTS) return { counts: sums, droppedAccounts: 0 };
    const largest = [...sums].sort(([, left], [, right]) => right - left).slice(0, MAX_ACCOUNTS);
    return { counts: new Map(largest), droppedAccounts: sums.size - MAX_ACCOUNTS };
  }

  /** Whether some node has counted from the first half of the window on, at the latest. */
  covers(window: number): boolean {
    return [...this.#nodes.values()].some(({ firstWindow }) => firstWindow < window);
  }

  /**
   * Incarnations whose counts of a window are not complete.
   *
   * @param live - incarnations that run
   * @param silent - incarnations that may run but do not answer; they matter if they counted in this window
   */
  incompleteNodes(
    window: number,
    windowEndMs: number,
    live: readonly string[],
    silent: readonly string[],
  ): string[] {
    const counted = silent.filter((incarnation) =>
      this.#nodes.get(incarnation)?.windows.has(window),
    );
    return [...live, ...counted].filter(
      (incarnation) => (this.#nodes.get(incarnation)?.completeUntilMs ?? 0) < windowEndMs,
    );
  }

  /** Everything that is kept of the windows from `firstWindow` on, in messages of nodes. */
  kept(firstWindow: number): NodeUsage[] {
    return [...this.#nodes].map(([incarnation, { completeUntilMs, windows }]) => ({
      incarnation,
      completeUntilMs,
      windows: [...windows]
        .filter(([window]) => window >= firstWindow)
        .map(([window, requests]) => ({ window, requests })),
    }));
  }

  /** Windows of which counts are kept, in order. */
  windows(): number[] {
    const found = [...this.#nodes.values()].flatMap(({ windows }) => [...windows.keys()]);
    return [...new Set(found)].sort((left, right) => left - right);
  }
}
