/** Counts the runs of each request over all workers. */
export class RunCounts {
  readonly #runs = new Map<string, number>();

  of(request: string): number {
    return this.#runs.get(request) ?? 0;
  }

  add(request: string): void {
    this.#runs.set(request, this.of(request) + 1);
  }
}
