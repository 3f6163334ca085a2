/** Number of recent batches of a model that are averaged, because single batches differ by a quarter. */
const RECENT_BATCHES = 8;

/** Maximum number of models with recorded batches; the least recently recorded one is evicted. */
const MAX_MODELS = 256;

/** Estimates the work of a batch for each model, in tokens to generate. */
export class BatchWorkEstimates {
  readonly #batches = new Map<string, number[]>();

  record(model: string, tokens: number): void {
    const known = this.#batches.get(model) ?? [];
    this.#batches.delete(model);
    this.#batches.set(model, [...known, tokens].slice(-RECENT_BATCHES));
    const [oldest] = this.#batches.keys();
    if (this.#batches.size > MAX_MODELS && oldest !== undefined) this.#batches.delete(oldest);
  }

  /**
   * Mean work of the recent batches of a model, at least 1. A model without recorded batches gets the mean over all
   * models.
   */
  meanTokens(model: string): number {
    const batches = this.#batches.get(model) ?? [...this.#batches.values()].flat();
    const total = batches.reduce((sum, tokens) => sum + tokens, 0);
    return Math.max(1, total / Math.max(1, batches.length));
  }
}
