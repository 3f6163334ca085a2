import { MAX_ACCOUNTS, MAX_WINDOWS } from './constants.ts';

/** Requests by account that began in one window. */
export interface CountedWindow {
  readonly window: number;
  readonly requests: ReadonlyMap<string, number>;
}

interface MutableWindow {
  readonly requests: Map<string, number>;
  /** Version of the counts at which the window changed last. */
  version: number;
}

/** Counts the requests that began at this node, by window and account. Keeps the latest windows. */
export class UsageCounts {
  readonly #windowMs: number;

  readonly #windows = new Map<number, MutableWindow>();

  #version = 0;

  #latest: number;

  /** @param startedAtMs - wall-clock time at which the node began to count, in ms since the Unix epoch */
  constructor(windowMs: number, startedAtMs: number) {
    this.#windowMs = windowMs;
    this.#latest = this.windowOf(startedAtMs);
    const startedInFirstHalf = startedAtMs - this.#latest * windowMs <= windowMs / 2;
    // An empty window before the first one tells that the node has seen most of the first one.
    if (startedInFirstHalf) this.#open(this.#latest - 1);
    this.#open(this.#latest);
  }

  /** Increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Number of the window that a time belongs to. */
  windowOf(atMs: number): number {
    return Math.floor(atMs / this.#windowMs);
  }

  /** Opens the windows that began by `nowMs`, and drops those beyond the number that is kept. */
  advance(nowMs: number): void {
    const current = this.windowOf(nowMs);
    if (current <= this.#latest - MAX_WINDOWS) {
      // The clock was far ahead, so that nothing would be counted until the time that it showed.
      this.#windows.clear();
      this.#latest = current - 1;
    }
    this.#openUpTo(current);
  }

  /**
   * Counts one request.
   *
   * @param beganAtMs - wall-clock time at which a worker began to run it, in ms since the Unix epoch
   * @returns `dropped`: the window is not kept any more, or has too many accounts
   */
  add(account: string, beganAtMs: number): 'counted' | 'dropped' {
    this.#openUpTo(this.windowOf(beganAtMs));
    const counted = this.#windows.get(this.windowOf(beganAtMs));
    const before = counted?.requests.get(account);
    if (counted === undefined) return 'dropped';
    if (before === undefined && counted.requests.size >= MAX_ACCOUNTS) return 'dropped';
    counted.requests.set(account, (before ?? 0) + 1);
    this.#version += 1;
    counted.version = this.#version;
    return 'counted';
  }

  /** The windows that changed after `sinceVersion`, in the order of their changes. */
  changedSince(sinceVersion: number): (CountedWindow & { readonly version: number })[] {
    return [...this.#windows]
      .filter(([, counted]) => counted.version > sinceVersion)
      .map(([window, { requests, version }]) => ({ window, requests, version }))
      .sort((left, right) => left.version - right.version);
  }

  #openUpTo(current: number): void {
    const first = Math.max(this.#latest + 1, current - MAX_WINDOWS + 1);
    for (let window = first; window <= current; window += 1) this.#open(window);
    this.#latest = Math.max(this.#latest, current);
    for (const window of this.#windows.keys()) {
      if (window <= this.#latest - MAX_WINDOWS) this.#windows.delete(window);
    }
  }

  #open(window: number): void {
    this.#version += 1;
    this.#windows.set(window, { requests: new Map(), version: this.#version });
  }
}
