import { write } from 'node:fs';
import type { Clock } from '../../shared/clock.ts';

/** Maximum number of bytes that wait to be written; about 2,000 lines. */
const MAX_PENDING_BYTES = 512 * 1024;

/** Maximum number of lines written per second; a node at its full request rate writes fewer. */
const MAX_LINES_PER_SECOND = 3000;

/** Delay before a write to a full non-blocking output is retried, in ms. */
const FULL_PIPE_RETRY_DELAY_MS = 10;

/** Writes bytes without blocking the event loop; calls `done` when all of them are written or the write failed. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/**
 * Writes to a file descriptor asynchronously. A stream would block the event loop when the descriptor is a pipe with a
 * slow reader.
 */
export const writeToDescriptor =
  (descriptor: number, clock: Clock): WriteBytes =>
  (bytes, done) => {
    const writeFrom = (offset: number): void => {
      write(descriptor, bytes, offset, bytes.length - offset, null, (error, written = 0) => {
        if (error?.code === 'EAGAIN') {
          clock.schedule(FULL_PIPE_RETRY_DELAY_MS, () => writeFrom(offset));
        } else if (error !== null) done(error);
        else if (offset + written >= bytes.length) done(null);
        else writeFrom(offset + written);
      });
    };
    writeFrom(0);
  };

export interface BoundedLineWriterOptions {
  readonly clock: Clock;
  readonly write: WriteBytes;
  /** Formats the line that reports how many lines were dropped. */
  readonly formatDroppedCount: (lines: number) => string;
  /** @default 524,288 bytes */
  readonly maxPendingBytes?: number;
  /** @default 3,000 */
  readonly maxLinesPerSecond?: number;
}

/**
 * Writes log lines, limited in lines per second and in pending bytes. Lines beyond a limit are dropped and counted, and
 * the count is written before the next line.
 */
export class BoundedLineWriter {
  readonly #options: BoundedLineWriterOptions;

  #pending: string[] = [];

  #pendingBytes = 0;

  #writing = false;

  #currentSecond = -Infinity;

  #linesThisSecond = 0;

  #droppedLines = 0;

  #onDrained: (() => void)[] = [];

  constructor(options: BoundedLineWriterOptions) {
    this.#options = options;
  }

  /** Adds a line, which must end with a line feed. Never blocks. */
  add(line: string): void {
    if (!this.#admit(line)) {
      this.#droppedLines += 1;
      return;
    }
    if (this.#droppedLines > 0) {
      this.#enqueue(this.#options.formatDroppedCount(this.#droppedLines));
      this.#droppedLines = 0;
    }
    this.#enqueue(line);
    this.#flush();
  }

  /** Resolves when all pending lines have been written. */
  drained(): Promise<void> {
    if (!this.#writing) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onDrained.push(resolve);
    });
  }

  #admit(line: string): boolean {
    const { clock, maxPendingBytes, maxLinesPerSecond } = this.#options;
    const second = Math.floor(clock.monotonicMs() / 1000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#linesThisSecond = 0;
    }
    this.#linesThisSecond += 1;
    return (
      this.#linesThisSecond <= (maxLinesPerSecond ?? MAX_LINES_PER_SECOND) &&
      this.#pendingBytes + line.length <= (maxPendingBytes ?? MAX_PENDING_BYTES)
    );
  }

  #enqueue(line: string): void {
    this.#pending.push(line);
    this.#pendingBytes += line.length;
  }

  #flush(): void {
    if (this.#writing || this.#pending.length === 0) return;
    const bytes = Buffer.from(this.#pending.join(''));
    const sizeBytes = this.#pendingBytes;
    this.#pending = [];
    this.#writing = true;
    this.#options.write(bytes, () => {
      // An error of the output is ignored: it could only be reported on the same output.
      this.#writing = false;
      this.#pendingBytes -= sizeBytes;
      this.#flush();
      if (!this.#writing) for (const resolve of this.#onDrained.splice(0)) resolve();
    });
  }
}
