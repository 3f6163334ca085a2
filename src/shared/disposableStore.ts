type Resource = Disposable | AsyncDisposable | { unsubscribe(): void };

/** Collects resources that one owner must release, and releases them in reverse order. */
export class DisposableStore implements AsyncDisposable {
  readonly #resources: Resource[] = [];

  #disposed = false;

  /** Adds a resource (a disposable or an rxjs subscription) and returns it. */
  add<T extends Resource>(resource: T): T {
    this.#resources.push(resource);
    return resource;
  }

  /** Adds a function to call on disposal. */
  defer(release: () => void | Promise<void>): void {
    this.#resources.push({
      async [Symbol.asyncDispose]() {
        await release();
      },
    });
  }

  get disposed(): boolean {
    return this.#disposed;
  }

  /** Releases every resource, the last added first. A second call does nothing. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#disposed = true;
    for (let resource = this.#resources.pop(); resource; resource = this.#resources.pop()) {
      if (Symbol.asyncDispose in resource) await resource[Symbol.asyncDispose]();
      else if (Symbol.dispose in resource) resource[Symbol.dispose]();
      else resource.unsubscribe();
    }
  }
}
