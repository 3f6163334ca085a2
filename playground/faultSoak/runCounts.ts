/** Number of runs of each request, over all workers. */
export class RunCounts {
  readonly #runs = new Map<string, number>();

  get(requestId: string): number {
    return this.#runs.get(requestId) ?? 0;
  }

  increment(requestId: string): void {
    this.#runs.set(requestId, this.get(requestId) + 1);
  }
}
