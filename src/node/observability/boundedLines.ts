import { write } from 'node:fs';
import type { Clock } from '../../shared/clock.ts';

/** Bytes that wait to be written, at most; about 2,000 lines. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Lines a second that are written, at most: a node at its full rate of requests writes fewer. */
const MAX_LINES_PER_SECOND = 3000;

/** Pause before a full non-blocking output is tried again, in ms. */
const FULL_OUTPUT_PAUSE_MS = 10;

/** Writes bytes without blocking the loop; calls back when they were taken. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/**
 * Writes to a file descriptor in the background. A stream would block the loop where the descriptor is a pipe whose
 * reader is slow.
 */
export const writeToDescriptor =
  (descriptor: number, clock: Clock): WriteBytes =>
  (bytes, done) => {
    const writeFrom = (offset: number): void => {
      write(descriptor, bytes, offset, bytes.length - offset, null, (error, written = 0) => {
        if (error?.code === 'EAGAIN') {
          clock.schedule(FULL_OUTPUT_PAUSE_MS, () => writeFrom(offset));
        } else if (error !== null) done(error);
        else if (offset + written >= bytes.length) done(null);
        else writeFrom(offset + written);
      });
    };
    writeFrom(0);
  };

export interface BoundedLinesOptions {
  readonly clock: Clock;
  readonly write: WriteBytes;
  /** Makes the line that tells how many were left out. */
  readonly describeLoss: (lines: number) => string;
  /** @default 524,288 bytes */
  readonly maxWaitingBytes?: number;
  /** @default 3,000 */
  readonly maxLinesPerSecond?: number;
}

/** Lines of a log, bounded in rate and in what waits. Lines beyond a bound are left out, counted, and the count is told. */
export class BoundedLines {
  readonly #options: BoundedLinesOptions;

  #waiting: string[] = [];

  #waitingBytes = 0;

  #writing = false;

  #second = -Infinity;

  #linesThisSecond = 0;

  #lost = 0;

  #onDrained: (() => void)[] = [];

  constructor(options: BoundedLinesOptions) {
    this.#options = options;
  }

  /** Adds a line, which ends with a line feed. Never blocks. */
  add(line: string): void {
    if (!this.#fits(line)) {
      this.#lost += 1;
      return;
    }
    if (this.#lost > 0) {
      this.#push(this.#options.describeLoss(this.#lost));
      this.#lost = 0;
    }
    this.#push(line);
    this.#flush();
  }

  /** Resolves when everything has been written. */
  drained(): Promise<void> {
    if (!this.#writing) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onDrained.push(resolve);
    });
  }

  #fits(line: string): boolean {
    const { clock, maxWaitingBytes, maxLinesPerSecond } = this.#options;
    const second = Math.floor(clock.monotonicMs() / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#linesThisSecond = 0;
    }
    this.#linesThisSecond += 1;
    return (
      this.#linesThisSecond <= (maxLinesPerSecond ?? MAX_LINES_PER_SECOND) &&
      this.#waitingBytes + line.length <= (maxWaitingBytes ?? MAX_WAITING_BYTES)
    );
  }

  #push(line: string): void {
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
  }

  #flush(): void {
    if (this.#writing || this.#waiting.length === 0) return;
    const bytes = Buffer.from(this.#waiting.join(''));
    const sizeBytes = this.#waitingBytes;
    this.#waiting = [];
    this.#writing = true;
    this.#options.write(bytes, () => {
      // Nothing can be said about an output that fails but on the same output.
      this.#writing = false;
      this.#waitingBytes -= sizeBytes;
      this.#flush();
      if (!this.#writing) for (const resolve of this.#onDrained.splice(0)) resolve();
    });
  }
}
