import {
  type BatchItem,
  type BatchRecord,
  type DispatcherRecord,
  type ItemResult,
  ReadStatus,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { forEachLimited } from '../../shared/forEachLimited.ts';
import { type BatchCaller, mayAccessBatch } from '../decisions/accounts/batchOwnership.ts';
import type { BatchClient, PeerAddress } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import { type PlatformClient, PlatformError } from '../platform/platformClient.ts';
import type { BatchCoordinator } from './batchCoordinator.ts';
import { batchKey, decodeBatch, isBatchId } from './batchObjects.ts';
import { DISPATCHER_READ_RETRY_MS, MAX_PART_READS, PEER_READ_MARGIN_MS } from './constants.ts';
import { joinFragments } from './contents/itemFragments.ts';
import { ItemIndex } from './contents/itemIndex.ts';
import type { PartCache } from './contents/partCache.ts';
import type { ItemBody } from './contents/storedPart.ts';
import { type HeldBytes, holdInline } from './contents/sharedBytes.ts';
import { limitReadSize, readLog } from './resultLog.ts';

/** A batch that was removed because its trainer had not read it for long. */
interface AbandonedBatch {
  readonly kind: 'abandoned';
}

/** Results of a batch from a position on. `unavailable`: neither a dispatcher nor the platform could be read. */
export type BatchRead =
  | AbandonedBatch
  | { readonly kind: 'found'; readonly total: number; readonly results: readonly ItemResult[] }
  | { readonly kind: 'no-such-batch'; readonly reason?: 'other-account' }
  | { readonly kind: 'unavailable' };

/** Body of an item of a batch that has not ended. */
export type ItemRead =
  | AbandonedBatch
  /** The body must be disposed of when it has been sent. */
  | { readonly kind: 'found'; readonly body: HeldBytes }
  | { readonly kind: 'no-such-item'; readonly reason?: 'other-account' }
  | { readonly kind: 'unavailable' };

/** Reads of a dispatcher that takes over go first. */
const ITEM_READ_PRIORITY = { kind: 'bulk', order: Infinity } as const;

const BATCH_OF_OTHER_ACCOUNT = { kind: 'no-such-batch', reason: 'other-account' } as const;

const ITEM_OF_OTHER_ACCOUNT = { kind: 'no-such-item', reason: 'other-account' } as const;

export interface BatchReaderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly platform: PlatformClient;
  readonly parts: Pick<PartCache, 'read'>;
  /** Coordinators of all pools that may contain the batch. */
  readonly coordinators: () => readonly BatchCoordinator[];
  /** Incarnation of this node. */
  readonly incarnation: string;
  readonly client: (address: PeerAddress) => BatchClient;
}

/**
 * Reads batches on any node. Asks the dispatcher first, because it sees new results earliest, and falls back to the
 * platform.
 */
export class BatchReader {
  readonly #options: BatchReaderOptions;

  readonly #index = new ItemIndex();

  constructor(options: BatchReaderOptions) {
    this.#options = options;
  }

  /**
   * @param waitMs - how long to wait for a first result before responding, in ms
   * @param caller - on whose behalf the batch is read
   */
  async read(
    batchId: string,
    after: number,
    waitMs: number,
    caller: BatchCaller,
  ): Promise<BatchRead> {
    if (!isBatchId(batchId)) return { kind: 'no-such-batch' };
    const started = new Stopwatch(this.#options.clock);
    const fromDispatcher = await this.#readFromDispatchers(batchId, after, waitMs, caller);
    const { read, source } =
      fromDispatcher === undefined
        ? await this.#readFromPlatformOrNextDispatcher(batchId, after, caller)
        : { read: fromDispatcher, source: 'dispatcher' };
    this.#options.logger.info('batch-read', {
      batch: batchId,
      account: caller,
      after,
      outcome: read.kind,
      reason: read.kind === 'no-such-batch' ? read.reason : undefined,
      results: read.kind === 'found' ? read.results.length : undefined,
      source,
      tookMs: Math.round(started.elapsedMs()),
    });
    return read;
  }

  async readItem(batchId: string, itemId: string, caller: BatchCaller): Promise<ItemRead> {
    if (!isBatchId(batchId)) return { kind: 'no-such-item' };
    for (const { dispatcher } of this.#options.coordinators()) {
      const owner = dispatcher?.ownerOf(batchId);
      if (owner !== undefined && !mayAccessBatch(owner, caller)) return ITEM_OF_OTHER_ACCOUNT;
      const body = await dispatcher?.holdBody(batchId, itemId);
      if (body !== undefined) return { kind: 'found', body };
    }
    try {
      const record = await this.#readRecord(batchId);
      if (record === undefined) return { kind: 'no-such-item' };
      if (!mayAccessBatch(record.account, caller)) return ITEM_OF_OTHER_ACCOUNT;
      if (record.abandonedAtMs > 0n) return { kind: 'abandoned' };
      if (record.endedAtMs > 0n) return { kind: 'no-such-item' };
      const body = await this.#findBody(record, itemId);
      return body === undefined ? { kind: 'no-such-item' } : { kind: 'found', body };
    } catch (error) {
      this.#logFailure('item-read-failed', batchId, error);
      return { kind: 'unavailable' };
    }
  }

  async #readFromDispatchers(
    batchId: string,
    after: number,
    waitMs: number,
    caller: BatchCaller,
  ): Promise<BatchRead | undefined> {
    const { coordinators, incarnation } = this.#options;
    for (const { dispatcher, election } of coordinators()) {
      const owner = dispatcher?.ownerOf(batchId);
      if (owner !== undefined && !mayAccessBatch(owner, caller)) return BATCH_OF_OTHER_ACCOUNT;
      const local = await dispatcher?.read(batchId, after, waitMs);
      if (local !== undefined) return { kind: 'found', ...local };
      const { holder } = election;
      if (holder !== undefined && holder.incarnation !== incarnation) {
        const read = await this.#readFromPeer(holder, batchId, after, waitMs, caller);
        if (read !== undefined) return read;
      }
    }
    return undefined;
  }

  async #readFromPeer(
    holder: DispatcherRecord,
    batchId: string,
    after: number,
    waitMs: number,
    account: BatchCaller,
  ): Promise<BatchRead | undefined> {
    try {
      const response = await this.#options
        .client(holder)
        .readResults(
          { batchId, after, waitMs, account },
          { timeoutMs: waitMs + PEER_READ_MARGIN_MS },
        );
      if (response.status === ReadStatus.OTHER_ACCOUNT) return BATCH_OF_OTHER_ACCOUNT;
      if (response.status !== ReadStatus.OK) return undefined;
      return { kind: 'found', total: response.total, results: response.results };
    } catch (error) {
      this.#logFailure('dispatcher-read-failed', batchId, error);
      return undefined;
    }
  }

  /**
   * Reads from the platform and, while that takes long, from the dispatcher that has been elected in the meantime: a
   * dispatcher is replaced when it has lost the platform, and its node would read from there in vain.
   */
  async #readFromPlatformOrNextDispatcher(
    batchId: string,
    after: number,
    caller: BatchCaller,
  ): Promise<{ readonly read: BatchRead; readonly source: string }> {
    const ended = new AbortController();
    const fromPlatform = this.#readFromPlatform(batchId, after, caller).then((read) => ({
      ...{ read, source: 'platform' },
    }));
    const fromDispatcher = this.#readFromNextDispatcher(batchId, after, caller, ended.signal).then(
      (read) => (read === undefined ? fromPlatform : { read, source: 'dispatcher' }),
    );
    const first = await Promise.race([fromPlatform, fromDispatcher]);
    ended.abort();
    return first;
  }

  /** Asks the dispatcher until it knows the batch or the signal is aborted. */
  async #readFromNextDispatcher(
    batchId: string,
    after: number,
    caller: BatchCaller,
    signal: AbortSignal,
  ): Promise<BatchRead | undefined> {
    for (;;) {
      await sleep(this.#options.clock, DISPATCHER_READ_RETRY_MS, signal);
      if (signal.aborted) return undefined;
      const read = await this.#readFromDispatchers(batchId, after, 0, caller);
      if (read !== undefined) return read;
    }
  }

  async #readFromPlatform(batchId: string, after: number, caller: BatchCaller): Promise<BatchRead> {
    const { platform } = this.#options;
    try {
      const record = await this.#readRecord(batchId);
      if (record === undefined) return { kind: 'no-such-batch' };
      if (!mayAccessBatch(record.account, caller)) return BATCH_OF_OTHER_ACCOUNT;
      if (record.abandonedAtMs > 0n) return { kind: 'abandoned' };
      const entries = await readLog(platform, batchId);
      const results = entries.flatMap((entry) => entry.results).slice(after);
      return { kind: 'found', total: record.itemCount, results: limitReadSize(results) };
    } catch (error) {
      this.#logFailure('batch-read-failed', batchId, error);
      return { kind: 'unavailable' };
    }
  }

  async #readRecord(batchId: string): Promise<BatchRecord | undefined> {
    const object = await this.#options.platform.read(batchKey(batchId));
    return object && decodeBatch(object.value);
  }

  /** Reads the parts that may contain an item until one does. @throws PlatformError */
  async #findBody(record: BatchRecord, itemId: string): Promise<HeldBytes | undefined> {
    const { parts } = this.#options;
    const indexes = this.#index.partsOf(record.id, itemId, record.partCount);
    let found: HeldBytes | undefined;
    let failure: Error | undefined;
    await forEachLimited(indexes, MAX_PART_READS, async (part) => {
      if (found !== undefined) return;
      try {
        const stored = await parts.read(record, part, ITEM_READ_PRIORITY);
        this.#index.record(record.id, part, stored.items);
        const item = stored.items.find(({ id }) => id === itemId);
        if (item === undefined) return;
        const body = stored.bodies.get(itemId);
        if (body === undefined) found = holdInline(item.body);
        else if (item.continuationParts === 0) found = body.holdRequest();
        else found = await this.#joinBody(record, part, item);
      } catch (error) {
        failure = error as Error;
      }
    });
    if (found === undefined && failure !== undefined) throw failure;
    return found;
  }

  /** Joins a body whose fragments are in several parts. @throws PlatformError */
  async #joinBody(record: BatchRecord, part: number, item: BatchItem): Promise<HeldBytes> {
    const fragments: ItemBody[] = [];
    for (let offset = 0; offset <= item.continuationParts; offset += 1) {
      const stored = await this.#options.parts.read(record, part + offset, ITEM_READ_PRIORITY);
      const fragment = stored.bodies.get(item.id);
      if (fragment === undefined) throw new PlatformError(`item ${item.id} has lost a fragment`);
      // A part that was read earlier may have to make room for this one.
      fragments.push(joinFragments([fragment]));
    }
    const whole = joinFragments(fragments);
    for (const fragment of fragments) fragment.drop();
    const held = whole.holdRequest();
    whole.drop();
    return held;
  }

  #logFailure(event: string, batchId: string, error: unknown): void {
    this.#options.logger.warn(event, { batch: batchId, message: messageOf(error) });
  }
}
