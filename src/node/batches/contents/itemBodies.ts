import type { BatchItem, BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep } from '../../../shared/clock.ts';
import { BaseError } from '../../../shared/errors.ts';
import { PlatformError } from '../../platform/platformClient.ts';
import { requestDigest } from '../../poison/requestDigest.ts';
import { ITEM_REQUEST_METHOD } from '../constants.ts';
import { batchRankOf } from '../waitingItem.ts';
import type { ContentHolder, ContentMemory } from './contentMemory.ts';
import { joinFragments } from './itemFragments.ts';
import type { PartCache } from './partCache.ts';
import type { HeldBytes } from './sharedBytes.ts';
import type { ItemBody, StoredPart } from './storedPart.ts';

/** Interval between attempts to find room for a body, in ms. */
const ROOM_CHECK_INTERVAL_MS = 25;

interface BodyEntry {
  readonly record: BatchRecord;
  /** Part in which the bodies begin, and number of parts in which they continue. */
  readonly part: number;
  readonly continuationParts: number;
  readonly sizeBytes: number;
  readonly digest: string;
  /** Undefined while the body is only at the platform. */
  body: ItemBody | undefined;
  /** Number of callers that hold the body or wait for it. */
  users: number;
  /** Whether there is room for the body while it is read. */
  isReserved: boolean;
}

/** A large body that a caller may use until it disposes of it. */
export interface HeldBody extends Disposable {
  readonly request: HeldBytes;
  readonly scoring: HeldBytes;
}

/** Digest of an item's request. That of one whose body continues in other parts also depends on its id. */
const digestOf = ({ host }: BatchRecord, item: BatchItem, body: ItemBody): string => {
  const { id, path, continuationParts, totalBodyBytes } = item;
  using request = body.holdRequest();
  const requestBody =
    continuationParts === 0 ? request.bytes : Buffer.from(`${id} ${totalBodyBytes}`);
  return requestDigest({ method: ITEM_REQUEST_METHOD, host, path, body: requestBody });
};

/** Thrown for an item that needs no body any more, because it is finished or its batch has ended. */
export const BodyGoneError = BaseError.subclass('BodyGoneError');

export interface ItemBodiesOptions {
  readonly clock: Clock;
  readonly memory: ContentMemory;
  readonly parts: Pick<PartCache, 'take'>;
}

/**
 * The large bodies of the open items of a dispatcher. Keeps as many as there is room for and reads the others from the platform when
 * they are needed. A body in use is never given up; when those in use fill the memory, further ones wait.
 */
export class ItemBodies implements ContentHolder, Disposable {
  readonly #options: ItemBodiesOptions;

  readonly #counted: Disposable;

  /** By batch and item, in the order in which they were added. */
  readonly #batches = new Map<string, Map<string, BodyEntry>>();

  /** Reads in progress by batch and part. */
  readonly #reads = new Map<string, Promise<void>>();

  /** Entries that wait for room, in the order in which they get it. */
  readonly #waiting = new Set<BodyEntry>();

  #neededBytes = 0;

  #cachedBytes = 0;

  constructor(options: ItemBodiesOptions) {
    this.#options = options;
    this.#counted = options.memory.add(this);
  }

  get neededBytes(): number {
    return this.#neededBytes;
  }

  get cachedBytes(): number {
    return this.#cachedBytes;
  }

  /** Adds the bodies of a part that was read; those for which there is no room are dropped. */
  add(record: BatchRecord, part: number, stored: StoredPart): void {
    const entries = this.#batches.get(record.id) ?? new Map<string, BodyEntry>();
    this.#batches.set(record.id, entries);
    for (const [id, body] of stored.bodies) {
      const item = stored.items.find((each) => each.id === id);
      if (item === undefined) {
        // The continuation of another part's item.
        body.drop();
        continue;
      }
      const { continuationParts, totalBodyBytes } = item;
      const isWhole = continuationParts === 0;
      const sizeBytes = isWhole ? body.sizeBytes : totalBodyBytes;
      const entry: BodyEntry = {
        ...{ record, part, continuationParts, sizeBytes },
        digest: digestOf(record, item, body),
        ...{ body: undefined, users: 0, isReserved: false },
      };
      this.drop(record.id, id);
      entries.set(id, entry);
      if (isWhole && this.#options.memory.canCache(sizeBytes)) this.#change(entry, { body });
      else body.drop();
    }
  }

  /** Digest of an item's request; undefined for an item without a large body. */
  digestOf(batchId: string, itemId: string): string | undefined {
    return this.#find(batchId, itemId)?.digest;
  }

  /** Size of the bodies of a batch, wherever they are, in bytes. */
  sizeBytesOf(batchId: string): number {
    const entries = [...(this.#batches.get(batchId)?.values() ?? [])];
    return entries.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  }

  /**
   * Holds a body, which is read from the platform if it is not in memory.
   *
   * @param signal - ends the wait for room when it is aborted
   * @throws PlatformError when it cannot be read, or BodyGoneError
   */
  async acquire(batchId: string, itemId: string, signal?: AbortSignal): Promise<HeldBody> {
    const entry = this.#find(batchId, itemId);
    if (entry === undefined) throw new BodyGoneError(`no body of item ${itemId}`);
    this.#change(entry, { users: entry.users + 1 });
    try {
      while (entry.body === undefined) await this.#read(entry, itemId, signal);
    } catch (error) {
      this.#change(entry, { users: entry.users - 1 });
      throw error;
    }
    const [request, scoring] = [entry.body.holdRequest(), entry.body.holdScoring()];
    let isHeld = true;
    return {
      ...{ request, scoring },
      [Symbol.dispose]: () => {
        if (!isHeld) return;
        isHeld = false;
        request[Symbol.dispose]();
        scoring[Symbol.dispose]();
        this.#change(entry, { users: entry.users - 1 });
      },
    };
  }

  /** Drops the body of an item that needs it no more. */
  drop(batchId: string, itemId: string): void {
    const entry = this.#find(batchId, itemId);
    if (entry === undefined) return;
    this.#batches.get(batchId)?.delete(itemId);
    this.#clearBody(entry);
  }

  /** Drops the bodies of a batch. */
  dropBatch(batchId: string): void {
    for (const entry of this.#batches.get(batchId)?.values() ?? []) this.#clearBody(entry);
    this.#batches.delete(batchId);
  }

  /** Gives up bodies that are not in use, those first that were added last and whose items run last. */
  evict(bytes: number): void {
    let evictedBytes = 0;
    for (const entries of [...this.#batches.values()].reverse()) {
      for (const entry of [...entries.values()].reverse()) {
        if (evictedBytes >= bytes) return;
        if (entry.body !== undefined && entry.users === 0) {
          evictedBytes += entry.sizeBytes;
          this.#clearBody(entry);
        }
      }
    }
  }

  [Symbol.dispose](): void {
    for (const batchId of [...this.#batches.keys()]) this.dropBatch(batchId);
    this.#counted[Symbol.dispose]();
  }

  #find(batchId: string, itemId: string): BodyEntry | undefined {
    return this.#batches.get(batchId)?.get(itemId);
  }

  /** Reads the body of an entry, and those of the same part as far as there is room. */
  async #read(entry: BodyEntry, itemId: string, signal: AbortSignal | undefined): Promise<void> {
    const { record, part } = entry;
    await this.#waitForRoom(entry, itemId, signal);
    const key = `${record.id}/${part}`;
    const read =
      this.#reads.get(key) ?? this.#readPart(record, part).finally(() => this.#reads.delete(key));
    this.#reads.set(key, read);
    try {
      await read;
    } finally {
      this.#change(entry, { isReserved: false });
    }
    this.#assertNeeded(entry, itemId);
    if (entry.body === undefined) throw new PlatformError(`part ${key} has no item ${itemId}`);
  }

  async #waitForRoom(
    entry: BodyEntry,
    itemId: string,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const { clock, memory } = this.#options;
    this.#waiting.add(entry);
    const hasTurn = () => this.#waiting.values().next().value === entry;
    const hasRoom = () => memory.makeRoom(entry.sizeBytes) || this.#neededBytes === 0;
    try {
      // Another caller may wait for the same body.
      while (entry.body === undefined && !entry.isReserved && !(hasTurn() && hasRoom())) {
        await sleep(clock, ROOM_CHECK_INTERVAL_MS, signal);
        if (signal?.aborted) throw new BodyGoneError(`the wait of item ${itemId} was ended`);
        this.#assertNeeded(entry, itemId);
      }
      this.#change(entry, { isReserved: true });
    } finally {
      this.#waiting.delete(entry);
    }
  }

  #assertNeeded(entry: BodyEntry, itemId: string): void {
    if (this.#find(entry.record.id, itemId) === entry) return;
    throw new BodyGoneError(`item ${itemId} needs its body no more`);
  }

  async #readPart(record: BatchRecord, part: number): Promise<void> {
    const { parts } = this.#options;
    const order = batchRankOf(record);
    const { bodies } = await parts.take(record, part, { kind: 'bulk', order });
    for (const [id, first] of bodies) {
      const entry = this.#find(record.id, id);
      if (entry === undefined || !this.#wants(entry, part)) first.drop();
      else {
        const body = await this.#readWhole(entry, id, first);
        if (this.#find(record.id, id) === entry) this.#change(entry, { body });
        else body.drop();
      }
    }
  }

  /** Whether the bodies that begin in a part are to be kept: someone needs them, or they fit and need no further reads. */
  #wants({ part: firstPart, body, users, continuationParts, sizeBytes }: BodyEntry, part: number) {
    if (firstPart !== part || body !== undefined) return false;
    return users > 0 || (continuationParts === 0 && this.#options.memory.canCache(sizeBytes));
  }

  /** Joins the first fragment of an item's bodies with those of the following parts. */
  async #readWhole(
    { record, part, continuationParts }: BodyEntry,
    itemId: string,
    first: ItemBody,
  ): Promise<ItemBody> {
    if (continuationParts === 0) return first;
    const fragments = [first];
    try {
      const order = batchRankOf(record);
      for (let offset = 1; offset <= continuationParts; offset += 1) {
        const next = await this.#options.parts.take(record, part + offset, { kind: 'bulk', order });
        const fragment = next.bodies.get(itemId);
        for (const body of next.bodies.values()) if (body !== fragment) body.drop();
        if (fragment === undefined) throw new PlatformError(`item ${itemId} has lost a fragment`);
        fragments.push(fragment);
      }
      return joinFragments(fragments);
    } finally {
      for (const fragment of fragments) fragment.drop();
    }
  }

  #clearBody(entry: BodyEntry): void {
    entry.body?.drop();
    this.#change(entry, { body: undefined });
  }

  #change(
    entry: BodyEntry,
    changes: Partial<Pick<BodyEntry, 'body' | 'users' | 'isReserved'>>,
  ): void {
    this.#count(entry, -1);
    Object.assign(entry, changes);
    this.#count(entry, 1);
  }

  #count({ body, sizeBytes, users, isReserved }: BodyEntry, sign: 1 | -1): void {
    if (body === undefined && !isReserved) return;
    if (users > 0) this.#neededBytes += sign * sizeBytes;
    else this.#cachedBytes += sign * sizeBytes;
  }
}
