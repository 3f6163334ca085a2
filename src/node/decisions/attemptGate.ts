import { invariant } from '../../shared/invariants.ts';

/** One attempt at answering a request. */
export interface Attempt {
  /** Starts at 1. */
  readonly number: number;
  /** Whether bytes from this attempt may still be forwarded to the caller. */
  readonly isCurrent: () => boolean;
}

/** Lets only the current attempt of a request send bytes to the caller. Beginning an attempt abandons earlier ones. */
export class AttemptGate {
  #begun = 0;

  /** Number of the attempt in progress; undefined between attempts. */
  #current: number | undefined;

  /** Number of the last attempt whose bytes were forwarded to the caller. */
  #lastForwarded: number | undefined;

  /** Number of attempts begun so far. */
  get attempts(): number {
    return this.#begun;
  }

  begin(): Attempt {
    this.#begun += 1;
    const number = this.#begun;
    this.#current = number;
    return { number, isCurrent: () => number === this.#current };
  }

  /** Abandons the current attempt without beginning another; bytes that it delivers later are dropped. */
  close(): void {
    this.#current = undefined;
  }

  /**
   * Must be called before bytes of an attempt are forwarded to the caller.
   *
   * @param continues - whether the attempt continues a stream that an earlier attempt began
   * @returns false if the attempt was abandoned and its bytes must be dropped
   */
  tryForward(attempt: Attempt, continues = false): boolean {
    if (!attempt.isCurrent()) return false;
    invariant(
      continues || this.#lastForwarded === undefined || this.#lastForwarded === attempt.number,
      'one-attempt-answers',
      { answeredBy: this.#lastForwarded, attempt: attempt.number },
    );
    this.#lastForwarded = attempt.number;
    return true;
  }
}
