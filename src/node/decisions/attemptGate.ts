import { invariant } from '../../shared/invariants.ts';

/** One attempt at answering a request. */
export interface Attempt {
  /** Counted from 1. */
  readonly number: number;
  /** Whether bytes of this attempt may still reach the caller. */
  readonly isCurrent: () => boolean;
}

/** Numbers the attempts of a request; beginning one abandons all earlier ones for good. */
export class AttemptGate {
  #begun = 0;

  /** Number of the attempt in progress; undefined between attempts. */
  #current: number | undefined;

  /** Number of the attempt whose bytes the caller has seen. */
  #answeredBy: number | undefined;

  /** Attempts begun so far. */
  get attempts(): number {
    return this.#begun;
  }

  begin(): Attempt {
    this.#begun += 1;
    const number = this.#begun;
    this.#current = number;
    return { number, isCurrent: () => number === this.#current };
  }

  /** Ends the current attempt without a next one; its late bytes are dropped too. */
  close(): void {
    this.#current = undefined;
  }

  /**
   * Asks to pass bytes of an attempt to the caller. Returns false when it was abandoned.
   *
   * @param continues - the attempt continues a stream that an earlier attempt began
   */
  pass(attempt: Attempt, continues = false): boolean {
    if (!attempt.isCurrent()) return false;
    invariant(
      continues || this.#answeredBy === undefined || this.#answeredBy === attempt.number,
      'one-attempt-answers',
      { answeredBy: this.#answeredBy, attempt: attempt.number },
    );
    this.#answeredBy = attempt.number;
    return true;
  }
}
