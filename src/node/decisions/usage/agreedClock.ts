import { type Clock, Stopwatch } from '../../../shared/clock.ts';

/** Time for which the clock of another node counts, in ms: a few exchanges of one a second. */
const SAMPLE_TTL_MS = 4000;

/**
 * Number of latest readings of a clock of which the furthest ahead counts: messages that were delayed make a clock appear
 * behind.
 */
const READINGS = 4;

/** Maximum number of other nodes whose clocks are kept. */
const MAX_SAMPLES = 64;

/** Minimum number of clocks that outvote one that was stepped. */
const MIN_CLOCKS = 3;

const medianOf = (values: readonly number[]): number => {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/**
 * The wall clock that most nodes agree on: the median of this node's clock and those of the nodes that it exchanges counts
 * with. Addresses nodes whose wall clock steps by seconds in the middle of a window, which would count in the wrong one.
 */
export class AgreedClock {
  readonly #clock: Clock;

  /** By incarnation: the difference to this node's monotonic clock. */
  readonly #samples = new Map<string, { readonly offsetsMs: number[]; readonly at: Stopwatch }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records the wall clock of another node.
   *
   * @param wallMs - its clock when it sent the message that has just arrived, in ms since the Unix epoch
   */
  observe(incarnation: string, wallMs: number): void {
    const [oldest] = this.#samples.keys();
    const offsetsMs = this.#samples.get(incarnation)?.offsetsMs ?? [];
    this.#samples.delete(incarnation);
    if (this.#samples.size >= MAX_SAMPLES && oldest !== undefined) this.#samples.delete(oldest);
    offsetsMs.push(wallMs - this.#clock.monotonicMs());
    if (offsetsMs.length > READINGS) offsetsMs.shift();
    this.#samples.set(incarnation, { offsetsMs, at: new Stopwatch(this.#clock) });
  }

  /** The agreed time, in ms since the Unix epoch. */
  nowMs(): number {
    const ownOffsetMs = this.#clock.nowMs() - this.#clock.monotonicMs();
    const offsets = [ownOffsetMs];
    for (const { offsetsMs, at } of this.#samples.values()) {
      if (at.minElapsedMs() < SAMPLE_TTL_MS) offsets.push(Math.max(...offsetsMs));
    }
    return offsets.length < MIN_CLOCKS
      ? this.#clock.nowMs()
      : this.#clock.monotonicMs() + medianOf(offsets);
  }
}
