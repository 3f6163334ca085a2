import { BaseError } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';

/** An engine's stream does not continue what was delivered; nothing of the offending chunk was accepted. */
export const ResumptionError = BaseError.subclass('ResumptionError');

/** The part of a chunk that decides whether it continues the stream. */
export interface PositionedTokens {
  readonly tokenIds: readonly number[];
  /** Position of the first token in the whole generation, counted from 0. */
  readonly position: number;
}

/**
 * Joins the streams of several attempts into one without lost or doubled tokens. An attempt may start again from an
 * earlier position; what it repeats is checked against what was delivered and dropped.
 */
export class StreamResumption {
  readonly #maxTokens: number;

  readonly #delivered: number[] = [];

  /** @param maxTokens - tokens that were asked for; bounds what is kept */
  constructor(maxTokens: number) {
    this.#maxTokens = maxTokens;
  }

  /** Tokens accepted so far; the next attempt continues after them. */
  get delivered(): readonly number[] {
    return this.#delivered;
  }

  /** Whether every token that was asked for has been delivered. */
  get isComplete(): boolean {
    return this.#delivered.length >= this.#maxTokens;
  }

  /**
   * Takes the next chunk of the current attempt.
   *
   * @returns whether it is to be delivered; false: it only repeats what was delivered
   * @throws ResumptionError when tokens are missing before it, differ from those delivered, or are too many
   */
  accept({ tokenIds, position }: PositionedTokens): boolean {
    const nextPosition = this.#delivered.length;
    const endPosition = position + tokenIds.length;
    if (position > nextPosition) {
      throw new ResumptionError(`tokens ${nextPosition} to ${position - 1} are missing`);
    }
    if (position < nextPosition) {
      this.#checkRepeated(tokenIds, position);
      // The text of a part of a chunk is not known, so the part cannot be delivered on its own.
      if (endPosition > nextPosition) {
        throw new ResumptionError(`a chunk repeats tokens before ${nextPosition} and adds others`);
      }
      return false;
    }
    if (endPosition > this.#maxTokens) {
      throw new ResumptionError(`more than the ${this.#maxTokens} tokens that were asked for`);
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
      throw new ResumptionError(`tokens from ${position} on differ from those delivered`);
    }
  }
}
