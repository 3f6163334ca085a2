import { writeFile } from 'node:fs/promises';

/** What a case sent, what was answered and what ran, in the order in which it was seen. */
export class CaseRecord {
  readonly #startMs = Date.now();

  readonly #lines: string[] = [];

  readonly #file: string;

  constructor(file: string) {
    this.#file = file;
  }

  /** Time since the start of the case, in ms. */
  get elapsedMs(): number {
    return Date.now() - this.#startMs;
  }

  add(line: string, atMs = Date.now()): void {
    this.#lines.push(`${((atMs - this.#startMs) / 1000).toFixed(3).padStart(8)} ${line}`);
  }

  save(): Promise<void> {
    return writeFile(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
