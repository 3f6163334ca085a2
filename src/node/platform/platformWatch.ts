import http from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import type { PlatformEvent } from './platformClient.ts';

/** Largest line of a watch: a value of 1 MB, escaped, and its envelope. */
const MAX_LINE_BYTES = 4_000_000;

/** A watch without an event for this long is opened anew, because a silent connection cannot be told from a quiet one. */
const MAX_QUIET_MS = 60_000;

export interface PlatformWatchOptions {
  readonly url: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly onEvent: (event: PlatformEvent) => void;
  /** Told of each opening after the first, which the caller has counted itself. */
  readonly onReopen?: () => void;
}

/**
 * Follows a watch of the platform and opens it anew when it breaks, is quiet for long, or sends what cannot be read.
 * Events in between are lost: the owner's periodic read finds them.
 */
export class PlatformWatch implements Disposable {
  readonly #options: PlatformWatchOptions;

  #request: http.ClientRequest | undefined;

  #timer: Disposable | undefined;

  #failures = 0;

  #disposed = false;

  constructor(options: PlatformWatchOptions) {
    this.#options = options;
    this.#open();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer?.[Symbol.dispose]();
    this.#request?.destroy();
  }

  #open(): void {
    const request = http.get(this.#options.url);
    this.#request = request;
    this.#expectEvent();
    request.on('response', (response) => {
      if (response.statusCode !== 200) {
        request.destroy();
        return;
      }
      let rest = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop() ?? '';
        if (rest.length > MAX_LINE_BYTES || !lines.every((line) => this.#take(line))) {
          request.destroy();
        }
      });
      response.on('error', () => {});
    });
    request.on('error', () => {});
    request.on('close', () => this.#reopenLater());
  }

  #take(line: string): boolean {
    if (line === '') return true;
    let event: PlatformEvent;
    try {
      event = JSON.parse(line) as PlatformEvent;
    } catch {
      return false;
    }
    this.#failures = 0;
    this.#expectEvent();
    this.#options.onEvent(event);
    return true;
  }

  #expectEvent(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = this.#options.clock.schedule(MAX_QUIET_MS, () => this.#request?.destroy());
  }

  #reopenLater(): void {
    this.#timer?.[Symbol.dispose]();
    if (this.#disposed) return;
    this.#failures += 1;
    const delayMs = backoffMs(this.#failures, this.#options.random);
    this.#timer = this.#options.clock.schedule(delayMs, () => {
      this.#options.onReopen?.();
      this.#open();
    });
  }
}
