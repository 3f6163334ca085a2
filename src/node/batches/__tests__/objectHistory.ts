import type { PlatformObject } from '../../platform/platformClient.ts';

/** Earlier states of the objects, which calls that allow it may return. */
export class ObjectHistory {
  readonly #states = new Map<string, { atMs: number; object: PlatformObject | undefined }[]>();

  record(key: string, atMs: number, object: PlatformObject | undefined): void {
    const states = this.#states.get(key) ?? [];
    states.push({ atMs, object });
    this.#states.set(key, states);
  }

  stateAt(key: string, atMs: number): PlatformObject | undefined {
    return this.#states.get(key)?.findLast((state) => state.atMs <= atMs)?.object;
  }
}
