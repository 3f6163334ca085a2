/** Batches of a model whose work is remembered; single ones differ by a quarter. */
const REMEMBERED_BATCHES = 8;

/** Models whose work is remembered, at most. */
const MAX_MODELS = 256;

/** How much work the batches of each model bring, in tokens that are to be generated. */
export class ModelWork {
  readonly #batches = new Map<string, number[]>();

  record(model: string, tokens: number): void {
    const known = this.#batches.get(model) ?? [];
    this.#batches.delete(model);
    this.#batches.set(model, [...known, tokens].slice(-REMEMBERED_BATCHES));
    const [oldest] = this.#batches.keys();
    if (this.#batches.size > MAX_MODELS && oldest !== undefined) this.#batches.delete(oldest);
  }

  /** Mean work of a batch of a model; of all models while it is not known, and 1 while nothing is. */
  of(model: string): number {
    const batches = this.#batches.get(model) ?? [...this.#batches.values()].flat();
    const total = batches.reduce((sum, tokens) => sum + tokens, 0);
    return Math.max(1, total / Math.max(1, batches.length));
  }
}
