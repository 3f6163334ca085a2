import type { BatchItem, BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import type { CallPriority, PlatformClient } from '../../platform/platformClient.ts';
import { decodeItems, itemsKey } from '../batchObjects.ts';

/** Reads the parts in which the items of a batch are stored. What it has read is kept when the reading of another part fails. */
export class StoredParts {
  readonly #platform: Pick<PlatformClient, 'read'>;

  readonly #record: BatchRecord;

  readonly #parts: (readonly BatchItem[] | undefined)[];

  /** Reads in progress by part. */
  readonly #reads = new Map<number, Promise<void>>();

  constructor(platform: Pick<PlatformClient, 'read'>, record: BatchRecord) {
    this.#platform = platform;
    this.#record = record;
    this.#parts = Array.from({ length: record.partCount }, () => undefined);
  }

  get count(): number {
    return this.#parts.length;
  }

  /** Number of parts that have been read. */
  get readCount(): number {
    return this.#parts.filter((part) => part !== undefined).length;
  }

  /**
   * Reads the parts that are missing and returns the items of all parts in order.
   *
   * @throws PlatformError when a part could not be read; another call goes on with those that are missing
   */
  async read(priority: CallPriority): Promise<BatchItem[]> {
    const results = await Promise.allSettled(
      [...this.#parts.keys()]
        .filter((part) => this.#parts[part] === undefined)
        .map((part) => this.#readOnce(part, priority)),
    );
    const failed = results.find((result) => result.status === 'rejected');
    if (failed !== undefined) throw failed.reason;
    return this.#parts.flatMap((items) => items ?? []);
  }

  #readOnce(part: number, priority: CallPriority): Promise<void> {
    const read =
      this.#reads.get(part) ??
      this.#readPart(part, priority).finally(() => this.#reads.delete(part));
    this.#reads.set(part, read);
    return read;
  }

  async #readPart(part: number, priority: CallPriority): Promise<void> {
    const object = await this.#platform.read(itemsKey(this.#record, part), { priority });
    this.#parts[part] = decodeItems(object?.value);
  }
}
