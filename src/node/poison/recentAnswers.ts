import type { DigestedRequest } from './requestDigest.ts';

/** Maximum number of requests that are remembered. */
export const MAX_RECENT_ANSWERS = 512;

/** Maximum number of bytes of the bodies of all remembered requests. */
export const MAX_RECENT_BODIES_BYTES = 1024 * 1024;

/** Length of the longest body that is remembered, in bytes. */
export const MAX_RECENT_BODY_BYTES = 16 * 1024;

/** Maximum length of method, host and path of a request that is remembered, in characters. */
export const MAX_RECENT_NAME_CHARS = 1024;

/** A request that a worker answered. */
export interface RecentAnswer {
  readonly request: DigestedRequest;
  /** Monotonic time of the answer, in ms. */
  readonly answeredMs: number;
}

interface Slot extends Omit<DigestedRequest, 'body' | 'digest'> {
  /** Number of bytes of bodies that were written before this one. */
  readonly bodyStart: number;
  readonly bodyBytes: number;
  readonly answeredMs: number;
}

/**
 * Remembers the last requests that workers answered while none was suspected, without their digests: a copy of a request
 * costs less. The oldest give way at the limits, and a request that is too large is not remembered.
 */
export class RecentAnswers {
  #slots: Slot[] = [];

  /** Index of the slot that is overwritten next once all are in use. */
  #next = 0;

  /** Bodies, overwritten from the start when the end is reached. */
  #bodies: Buffer | undefined;

  /** Number of bytes of bodies written so far, with those that were skipped at the end. */
  #written = 0;

  record({ method, host, path, body, digest }: DigestedRequest, answeredMs: number): void {
    // The body of a request that comes with its digest is too large, and may not be in memory.
    if (digest !== undefined) return;
    const bodyBytes = body.length;
    const nameChars = method.length + host.length + path.length;
    if (bodyBytes > MAX_RECENT_BODY_BYTES || nameChars > MAX_RECENT_NAME_CHARS) return;
    const left = MAX_RECENT_BODIES_BYTES - (this.#written % MAX_RECENT_BODIES_BYTES);
    const bodyStart = this.#written + (bodyBytes > left ? left : 0);
    if (bodyBytes > 0) {
      // The caller's memory of the body is used again after its response.
      this.#bodies ??= Buffer.allocUnsafe(MAX_RECENT_BODIES_BYTES);
      this.#bodies.set(body, bodyStart % MAX_RECENT_BODIES_BYTES);
    }
    this.#written = bodyStart + bodyBytes;
    this.#slots[this.#next] = { method, host, path, bodyStart, bodyBytes, answeredMs };
    this.#next = (this.#next + 1) % MAX_RECENT_ANSWERS;
  }

  /** Returns the remembered answers, and forgets them. The bodies are valid until the next answer is recorded. */
  take(): readonly RecentAnswer[] {
    const oldestStart = this.#written - MAX_RECENT_BODIES_BYTES;
    const answers = this.#slots
      .filter(({ bodyStart, bodyBytes }) => bodyBytes === 0 || bodyStart >= oldestStart)
      .map(({ bodyStart, bodyBytes, answeredMs, ...name }) => {
        const offset = bodyStart % MAX_RECENT_BODIES_BYTES;
        const body = this.#bodies?.subarray(offset, offset + bodyBytes) ?? Buffer.alloc(0);
        return { request: { ...name, body }, answeredMs };
      });
    this.#slots = [];
    this.#next = 0;
    return answers;
  }
}
