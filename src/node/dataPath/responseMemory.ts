interface ResponseShare {
  sizeBytes: number;
  readonly evict: () => void;
  /** Whether the response is complete and waits for its caller to read it. */
  readonly isUnread: boolean;
}

/** A response that is being read and occupies memory until it is disposed. */
export interface ReadResponse extends Disposable {
  /** Counts further bytes of the response. May evict this or another response. */
  grow(sizeBytes: number): void;
}

/**
 * Bounds the memory of all responses that are being read from workers or wait for their callers. When it is exceeded, the
 * response that has waited longest for its caller is evicted, because callers that read take the time of a transfer only;
 * else the largest one: a worker that sends bytes without end thereby loses its own responses, not those of others.
 */
export class ResponseMemory {
  readonly #limitBytes: number;

  readonly #responses = new Set<ResponseShare>();

  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get limitBytes(): number {
    return this.#limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** @param evict - called at most once, when the response must be given up; it then no longer counts */
  add(evict: () => void): ReadResponse {
    return this.#add({ sizeBytes: 0, evict, isUnread: false });
  }

  /**
   * Counts a complete response until its caller has read it.
   *
   * @param evict - called at most once, maybe at once, when the connection to the caller must be closed
   */
  addUnread(sizeBytes: number, evict: () => void): Disposable {
    const response = this.#add({ sizeBytes: 0, evict, isUnread: true });
    response.grow(sizeBytes);
    return response;
  }

  #add(response: ResponseShare): ReadResponse {
    this.#responses.add(response);
    return {
      grow: (sizeBytes) => {
        if (!this.#responses.has(response)) return;
        response.sizeBytes += sizeBytes;
        this.#usedBytes += sizeBytes;
        while (this.#usedBytes > this.#limitBytes && !this.#isOnlyUnread) this.#evictOne();
      },
      [Symbol.dispose]: () => this.#remove(response),
    };
  }

  /** Whether nothing is held but one response that waits for its caller; it could never be read if it were given up. */
  get #isOnlyUnread(): boolean {
    const [response] = this.#responses;
    return this.#responses.size === 1 && response?.isUnread === true;
  }

  #evictOne(): void {
    // A set keeps the order of insertion.
    const longestUnread = [...this.#responses].find(({ isUnread }) => isUnread);
    const evicted =
      longestUnread ??
      [...this.#responses].reduce((left, right) =>
        right.sizeBytes > left.sizeBytes ? right : left,
      );
    this.#remove(evicted);
    evicted.evict();
  }

  #remove(response: ResponseShare): void {
    if (this.#responses.delete(response)) this.#usedBytes -= response.sizeBytes;
  }
}
