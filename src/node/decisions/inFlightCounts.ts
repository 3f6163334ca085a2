import { invariant } from '../../shared/invariants.ts';

interface Count {
  current: number;
  /** Maximum since the last load report. */
  peak: number;
}

/** Counts this node's requests in progress by worker address. Tracks only workers with requests or a recent peak. */
export class InFlightCounts {
  readonly #counts = new Map<string, Count>();

  of(address: string): number {
    return this.#counts.get(address)?.current ?? 0;
  }

  add(address: string): void {
    const count = this.#counts.get(address) ?? { current: 0, peak: 0 };
    count.current += 1;
    count.peak = Math.max(count.peak, count.current);
    this.#counts.set(address, count);
  }

  remove(address: string): void {
    const count = this.#counts.get(address);
    invariant(count !== undefined && count.current > 0, 'in-flight-balance', { address });
    count.current -= 1;
    if (count.current === 0 && count.peak === 1) this.#counts.delete(address);
  }

  /**
   * Returns the maximum number of requests in progress since the last call and starts a new measurement. A load report
   * may lag and still count requests of this node that have ended since. Only the requests in the report beyond this
   * maximum come from other nodes.
   */
  takePeak(address: string): number {
    const count = this.#counts.get(address);
    if (count === undefined) return 0;
    const { peak } = count;
    count.peak = count.current;
    if (count.current === 0) this.#counts.delete(address);
    return peak;
  }
}
