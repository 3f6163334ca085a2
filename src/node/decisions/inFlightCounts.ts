import { invariant } from '../../shared/invariants.ts';

interface Count {
  now: number;
  /** Largest value since the last load report. */
  peak: number;
}

/** Requests in progress from this node, by worker address. Holds only workers with requests or a recent peak. */
export class InFlightCounts {
  readonly #counts = new Map<string, Count>();

  of(address: string): number {
    return this.#counts.get(address)?.now ?? 0;
  }

  add(address: string): void {
    const count = this.#counts.get(address) ?? { now: 0, peak: 0 };
    count.now += 1;
    count.peak = Math.max(count.peak, count.now);
    this.#counts.set(address, count);
  }

  remove(address: string): void {
    const count = this.#counts.get(address);
    invariant(count !== undefined && count.now > 0, 'in-flight-balance', { address });
    count.now -= 1;
    if (count.now === 0 && count.peak === 1) this.#counts.delete(address);
  }

  /**
   * Largest number in progress since the last call. A lagging load report counts requests of this node that have
   * ended meanwhile; what exceeds this number belongs to others.
   */
  takePeak(address: string): number {
    const count = this.#counts.get(address);
    if (count === undefined) return 0;
    const { peak } = count;
    count.peak = count.now;
    if (count.now === 0) this.#counts.delete(address);
    return peak;
  }
}
