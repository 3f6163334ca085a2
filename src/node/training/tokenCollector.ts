import { BaseError } from '../../shared/errors.ts';
import type { TokenChunk } from '../dataPath/engineApi.ts';
import type { TokenRange } from './trainerMessages.ts';

/** Thrown when a generation cannot be used or continued. */
export const GenerationError = BaseError.subclass('GenerationError');

/** Joins the chunks of a generation, also across several streams, and rejects gaps and repetitions. */
export class TokenCollector {
  readonly #texts: string[] = [];

  readonly #tokenIds: number[] = [];

  readonly #ranges: { from: number; to: number; weightVersion: number }[] = [];

  get tokenIds(): readonly number[] {
    return this.#tokenIds;
  }

  get ranges(): readonly TokenRange[] {
    return this.#ranges;
  }

  get text(): string {
    return this.#texts.join('');
  }

  /** @throws GenerationError when the chunk does not start where the previous one ended */
  add({ tokenIds, weightVersion, position, text }: TokenChunk): void {
    const from = this.#tokenIds.length;
    if (position !== from) {
      throw new GenerationError(`chunk starts at token ${position}, expected token ${from}`);
    }
    this.#texts.push(text);
    if (tokenIds.length === 0) return;
    this.#tokenIds.push(...tokenIds);
    const to = this.#tokenIds.length;
    const last = this.#ranges.at(-1);
    if (last?.weightVersion === weightVersion) last.to = to;
    else this.#ranges.push({ from, to, weightVersion });
  }
}
