import { BaseError } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';

/** An engine's stream does not continue the delivered tokens. Nothing of the offending chunk was accepted. */
export const ResumptionError = BaseError.subclass('ResumptionError');

/** The part of a chunk that decides whether it continues the stream. */
export interface PositionedTokens {
  readonly tokenIds: readonly number[];
  /** Zero-based position of the first token in the whole generation. */
  readonly position: number;
}

/**
 * Joins the streams of several attempts into one without lost or duplicated tokens. An attempt may start at an earlier
 * position; the tokens that it repeats are compared with the delivered ones and dropped.
 */
export class StreamResumption {
  readonly #maxTokens: number;

  readonly #delivered: number[] = [];

  /** @param maxTokens - requested number of tokens; also bounds the tokens kept in memory */
  constructor(maxTokens: number) {
    this.#maxTokens = maxTokens;
  }

  /** Tokens accepted so far. The next attempt continues after them. */
  get delivered(): readonly number[] {
    return this.#delivered;
  }

  /** Whether all requested tokens have been delivered. */
  get isComplete(): boolean {
    return this.#delivered.length >= this.#maxTokens;
  }

  /**
   * Accepts the next chunk of the current attempt.
   *
   * @returns whether to deliver the chunk; false when it only repeats delivered tokens
   * @throws ResumptionError if the chunk leaves a gap, contradicts delivered tokens, repeats only in part, or exceeds
   * the requested number of tokens
   */
  accept({ tokenIds, position }: PositionedTokens): boolean {
    const nextPosition = this.#delivered.length;
    const endPosition = position + tokenIds.length;
    if (position > nextPosition) {
      throw new ResumptionError(
        `stream has a gap: tokens ${nextPosition} to ${position - 1} were not received`,
      );
    }
    if (position < nextPosition) {
      this.#checkRepeated(tokenIds, position);
      // The text that belongs to a part of a chunk is unknown, so the new part cannot be delivered on its own.
      if (endPosition > nextPosition) {
        throw new ResumptionError(
          `chunk overlaps the delivered tokens: it starts before token ${nextPosition} and ends after it`,
        );
      }
      return false;
    }
    if (endPosition > this.#maxTokens) {
      throw new ResumptionError(`stream exceeds the requested ${this.#maxTokens} tokens`);
    }
    this.#delivered.push(...tokenIds);
    invariant(this.#delivered.length === endPosition, 'stream-position', {
      delivered: this.#delivered.length,
      endPosition,
    });
    return true;
  }

  #checkRepeated(tokenIds: readonly number[], position: number): void {
    const known = this.#delivered.slice(position, position + tokenIds.length);
    if (known.some((token, index) => token !== tokenIds[index])) {
      throw new ResumptionError(
        `repeated tokens from position ${position} differ from the delivered tokens`,
      );
    }
  }
}
