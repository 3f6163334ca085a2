interface ResponseShare {
  sizeBytes: number;
  readonly evict: () => void;
}

/** A response that is being read and occupies memory until it is disposed. */
export interface ReadResponse extends Disposable {
  /** Counts further bytes of the response. May evict this or another response. */
  grow(sizeBytes: number): void;
}

/**
 * Bounds the memory of all responses that are being read. When it is exceeded, the largest response is evicted: a worker
 * that sends bytes without end thereby loses its own responses, not those of other requests.
 */
export class ResponseMemory {
  readonly #limitBytes: number;

  readonly #responses = new Set<ResponseShare>();

  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** @param evict - called at most once, when the response must be given up; it then no longer counts */
  add(evict: () => void): ReadResponse {
    const response = { sizeBytes: 0, evict };
    this.#responses.add(response);
    return {
      grow: (sizeBytes) => {
        if (!this.#responses.has(response)) return;
        response.sizeBytes += sizeBytes;
        this.#usedBytes += sizeBytes;
        while (this.#usedBytes > this.#limitBytes) this.#evictLargest();
      },
      [Symbol.dispose]: () => this.#remove(response),
    };
  }

  #evictLargest(): void {
    const largest = [...this.#responses].reduce((left, right) =>
      right.sizeBytes > left.sizeBytes ? right : left,
    );
    this.#remove(largest);
    largest.evict();
  }

  #remove(response: ResponseShare): void {
    if (this.#responses.delete(response)) this.#usedBytes -= response.sizeBytes;
  }
}
