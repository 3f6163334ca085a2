import type { BatchItem } from '../../../gen/hyssoppulley/v1/batch_pb.ts';

/** Reads one part of a batch's items. */
type ReadPart = (part: number) => Promise<readonly BatchItem[]>;

/** Reads all parts of a batch's items. What it has read is kept when the reading of another part fails. */
export class StoredParts {
  readonly #readPart: ReadPart;

  readonly #parts: (readonly BatchItem[] | undefined)[];

  constructor(count: number, readPart: ReadPart) {
    this.#readPart = readPart;
    this.#parts = Array.from({ length: count }, () => undefined);
  }

  get count(): number {
    return this.#parts.length;
  }

  /** Number of parts that have been read. */
  get readCount(): number {
    return this.#parts.filter((part) => part !== undefined).length;
  }

  /**
   * Reads the parts that are missing and returns the items of all parts in order. Must not be called again before it has ended.
   *
   * @throws what `readPart` throws; another call goes on with those that are missing
   */
  async read(): Promise<BatchItem[]> {
    const missing = [...this.#parts.keys()].filter((part) => this.#parts[part] === undefined);
    const results = await Promise.allSettled(
      missing.map(async (part) => {
        this.#parts[part] = await this.#readPart(part);
      }),
    );
    const failed = results.find((result) => result.status === 'rejected');
    if (failed !== undefined) throw failed.reason;
    return this.#parts.flatMap((items) => items ?? []);
  }
}
