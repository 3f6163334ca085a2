import type { BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import {
  type CallPriority,
  type PlatformClient,
  PlatformError,
} from '../../platform/platformClient.ts';
import { BODY_FIELD, decodeItems, itemsKey } from '../batchObjects.ts';
import type { ContentHolder, ContentMemory } from './contentMemory.ts';
import { dropPart, partBytes, type StoredPart, toStoredPart } from './storedPart.ts';

interface CachedPart {
  readonly part: StoredPart;
  readonly sizeBytes: number;
}

/** Reads parts of batches' items from the platform and keeps the last ones while there is room. */
export class PartCache implements ContentHolder {
  readonly neededBytes = 0;

  readonly #platform: Pick<PlatformClient, 'read'>;

  readonly #memory: ContentMemory;

  /** By key, in the order of their last use. */
  readonly #parts = new Map<string, CachedPart>();

  /** Reads in progress by key. */
  readonly #reads = new Map<string, Promise<StoredPart>>();

  #cachedBytes = 0;

  constructor(platform: Pick<PlatformClient, 'read'>, memory: ContentMemory) {
    this.#platform = platform;
    this.#memory = memory;
  }

  get cachedBytes(): number {
    return this.#cachedBytes;
  }

  /**
   * Reads a part for a short use. It must not be kept.
   *
   * @throws PlatformError
   */
  async read(record: BatchRecord, part: number, priority: CallPriority): Promise<StoredPart> {
    const key = itemsKey(record, part);
    const known = this.#remove(key);
    if (known !== undefined) {
      this.#keep(key, known);
      return known.part;
    }
    const read = this.#reads.get(key) ?? this.#readAndKeep(key, priority);
    this.#reads.set(key, read);
    return read;
  }

  /**
   * Reads a part for the caller alone, which drops it when it needs it no more.
   *
   * @throws PlatformError
   */
  async take(record: BatchRecord, part: number, priority: CallPriority): Promise<StoredPart> {
    const key = itemsKey(record, part);
    return this.#remove(key)?.part ?? this.#readPart(key, priority);
  }

  /** Keeps a part that is stored at the platform if there is room for it; otherwise drops it. */
  put(record: BatchRecord, part: number, stored: StoredPart): void {
    const key = itemsKey(record, part);
    const sizeBytes = partBytes(stored);
    const known = this.#remove(key);
    if (known !== undefined) dropPart(known.part);
    if (this.#hasRoom(sizeBytes)) this.#keep(key, { part: stored, sizeBytes });
    else dropPart(stored);
  }

  /** Drops the parts of a batch that is not stored after all. */
  discard(record: BatchRecord): void {
    for (let part = 0; part < record.partCount; part += 1) {
      const known = this.#remove(itemsKey(record, part));
      if (known !== undefined) dropPart(known.part);
    }
  }

  evict(bytes: number): void {
    let evictedBytes = 0;
    for (const [key, { part, sizeBytes }] of this.#parts) {
      if (evictedBytes >= bytes) return;
      this.#remove(key);
      dropPart(part);
      evictedBytes += sizeBytes;
    }
  }

  async #readAndKeep(key: string, priority: CallPriority): Promise<StoredPart> {
    try {
      const part = await this.#readPart(key, priority);
      const sizeBytes = partBytes(part);
      if (this.#hasRoom(sizeBytes)) this.#keep(key, { part, sizeBytes });
      return part;
    } finally {
      this.#reads.delete(key);
    }
  }

  async #readPart(key: string, priority: CallPriority): Promise<StoredPart> {
    const object = await this.#platform.read(key, { priority, longField: BODY_FIELD });
    if (object === undefined) throw new PlatformError(`the platform has no object ${key}`);
    return toStoredPart(decodeItems(object));
  }

  /** Makes room for a part, where parts that were used longer ago take it. */
  #hasRoom(sizeBytes: number): boolean {
    if (!this.#memory.canCache(sizeBytes)) this.evict(sizeBytes);
    return this.#memory.canCache(sizeBytes);
  }

  #keep(key: string, part: CachedPart): void {
    this.#parts.set(key, part);
    this.#cachedBytes += part.sizeBytes;
  }

  #remove(key: string): CachedPart | undefined {
    const known = this.#parts.get(key);
    if (known === undefined) return undefined;
    this.#parts.delete(key);
    this.#cachedBytes -= known.sizeBytes;
    return known;
  }
}
