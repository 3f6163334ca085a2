import { create } from '@bufbuild/protobuf';
import {
  type BatchItem,
  type BatchRecord,
  BatchRecordSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { forEachLimited } from '../../shared/forEachLimited.ts';
import { newId, type Random } from '../../shared/random.ts';
import { mayAccessBatch } from '../decisions/accounts/batchOwnership.ts';
import { priorityOf } from '../decisions/accounts/mostUrgentPriority.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { TablesFollower } from '../gateway/tablesFollower.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, WriteResult } from '../platform/platformClient.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import {
  batchKey,
  decodeBatch,
  encodeBatch,
  encodeItems,
  isBatchId,
  itemsKey,
} from './batchObjects.ts';
import {
  ITEMS_WRITE_LIMIT_MS,
  MAX_KEPT_SUBMISSION_BYTES,
  MAX_PART_WRITES,
  RECORD_WRITE_LIMIT_MS,
} from './constants.ts';
import { splitItems } from './contents/itemFragments.ts';
import type { PartCache } from './contents/partCache.ts';
import { dropPart, freeBodies, partBytes, toStoredPart } from './contents/storedPart.ts';

/** A batch as submitted by a trainer. */
export interface BatchSubmission {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly step: number;
  readonly minVersion: number;
  /** Groups that the trainer waits for; 0: all. */
  readonly wantedGroups: number;
  readonly items: readonly BatchItem[];
  /** Client account to which the batch belongs; empty: there are no accounts. */
  readonly account: string;
}

/** Outcome of a submission. */
export type AcceptResult =
  /** The batch is stored at the platform and survives the loss of every node. */
  | { readonly kind: 'accepted' }
  /** Nothing of the batch runs as a result of this submission. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** A batch with this id belongs to another account; it is unchanged. */
  | { readonly kind: 'other-account'; readonly reason: string }
  /** The batch may have been accepted. */
  | { readonly kind: 'unknown'; readonly reason: string }
  | { readonly kind: 'invalid'; readonly reason: string };

export interface BatchAcceptorOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly tables: Pick<TablesFollower, 'accounts'>;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
  /** Receives the parts of accepted batches. */
  readonly parts: Pick<PartCache, 'put' | 'discard'>;
  /** Whether this node dispatches a pool. */
  readonly dispatches: (pool: string) => boolean;
}

/** Why a submission is invalid, undefined when it is not. Does not depend on the bodies of the items. */
export const submissionErrorOf = ({
  id,
  items,
}: Pick<BatchSubmission, 'id' | 'items'>): string | undefined => {
  if (!isBatchId(id)) return 'a batch id must have 1 to 64 letters, digits, dashes or underscores';
  if (items.length === 0) return 'a batch must contain at least one item';
  const ids = new Set(items.map((item) => item.id));
  return ids.size === items.length ? undefined : 'item ids must be unique within a batch';
};

/** A submission in progress. */
interface RunningSubmission {
  readonly account: string;
  readonly result: Promise<AcceptResult>;
}

const OTHER_ACCOUNT: Promise<AcceptResult> = Promise.resolve({
  kind: 'other-account',
  reason: 'a batch with this id belongs to another account',
});

const toAcceptResult = (stored: Exclude<WriteResult, { status: 'conflict' }>): AcceptResult => {
  if (stored.status === 'written') return { kind: 'accepted' };
  if (stored.status === 'unavailable') return { kind: 'refused', reason: stored.reason };
  return { kind: 'unknown', reason: 'the platform did not confirm whether the batch was stored' };
};

/**
 * Accepts batches by writing the items first and the batch record second. The batch exists only once the record is
 * written, so a submission that is refused before that leaves nothing behind that could run.
 */
export class BatchAcceptor {
  readonly #options: BatchAcceptorOptions;

  /** Submissions in progress by batch id. A repeated submission at this node shares the result of the first. */
  readonly #inProgress = new Map<string, RunningSubmission>();

  constructor(options: BatchAcceptorOptions) {
    this.#options = options;
  }

  accept(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const reason = submissionErrorOf(submission);
    if (reason !== undefined) return Promise.resolve({ kind: 'invalid', reason });
    const running = this.#inProgress.get(submission.id);
    if (running) return running.account === submission.account ? running.result : OTHER_ACCOUNT;
    const result = this.#accept(submission, route).finally(() =>
      this.#inProgress.delete(submission.id),
    );
    this.#inProgress.set(submission.id, { account: submission.account, result });
    return result;
  }

  async #accept(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const { clock, maxValueBytes, logger } = this.#options;
    const started = new Stopwatch(clock);
    const parts = splitItems(submission.items, maxValueBytes);
    if (parts === undefined) {
      return { kind: 'invalid', reason: 'the fields of an item are too large' };
    }
    const { failed, isOwn } = await this.#writeParts(submission, parts, started);
    let result: AcceptResult;
    // Items without a record form no batch, so an item write with an unknown outcome is reported as a refusal, too.
    if (failed !== undefined) {
      result = {
        kind: 'refused',
        reason: `failed to store the items of the batch: ${failed.status}`,
      };
    } else {
      const record = this.#recordOf(submission, route, parts.length);
      // The dispatcher may see the record before the response to its write arrives.
      if (isOwn) this.#keepParts(record, parts);
      const stored = await this.#create(
        batchKey(submission.id),
        encodeBatch(record),
        started,
        RECORD_WRITE_LIMIT_MS,
      );
      result =
        stored.status === 'conflict' ? await this.#checkOwner(submission) : toAcceptResult(stored);
      const isStored = stored.status === 'written' || stored.status === 'unknown';
      if (!isStored) this.#options.parts.discard(record);
      if (result.kind === 'accepted' && !isOwn) freeBodies(submission.items);
    }
    logger.info('batch-submitted', {
      batch: submission.id,
      route: route.name,
      account: submission.account,
      step: submission.step,
      items: submission.items.length,
      parts: parts.length,
      outcome: result.kind,
      reason: result.kind === 'accepted' ? undefined : result.reason,
      tookMs: Math.round(started.elapsedMs()),
    });
    return result;
  }

  /**
   * Writes the parts until one is not written.
   *
   * @returns the outcome of the one that is not written, and whether all stored parts are those of this submission
   */
  async #writeParts(
    submission: BatchSubmission,
    parts: readonly (readonly BatchItem[])[],
    started: Stopwatch,
  ): Promise<{ readonly failed: WriteResult | undefined; readonly isOwn: boolean }> {
    let failed: WriteResult | undefined;
    let isOwn = true;
    await forEachLimited([...parts.entries()], MAX_PART_WRITES, async ([part, items]) => {
      if (failed !== undefined) return;
      const key = itemsKey(submission, part);
      const written = await this.#create(key, encodeItems(items), started, ITEMS_WRITE_LIMIT_MS);
      if (written.status === 'conflict') isOwn = false;
      else if (written.status !== 'written') failed = written;
    });
    return { failed, isOwn };
  }

  /**
   * Outcome of a submission that may only be a repeated one.
   *
   * @returns undefined if no batch with this id is stored
   * @throws PlatformError
   */
  async findAccepted({
    id,
    account,
  }: Pick<BatchSubmission, 'id' | 'account'>): Promise<AcceptResult | undefined> {
    if (!isBatchId(id)) return undefined;
    const object = await this.#options.platform.read(batchKey(id));
    if (object === undefined) return undefined;
    return mayAccessBatch(decodeBatch(object.value).account, account)
      ? { kind: 'accepted' }
      : OTHER_ACCOUNT;
  }

  /** An earlier submission has already stored a batch with this id. Tells whether it is of the same account. */
  async #checkOwner(submission: BatchSubmission): Promise<AcceptResult> {
    if (this.#options.tables.accounts === undefined) return { kind: 'accepted' };
    try {
      const found = await this.findAccepted(submission);
      return found ?? { kind: 'refused', reason: 'the batch was just removed' };
    } catch (error) {
      const reason = `failed to read to whom the batch belongs: ${messageOf(error)}`;
      return { kind: 'unknown', reason };
    }
  }

  #create(key: string, value: unknown, started: Stopwatch, limitMs: number): Promise<WriteResult> {
    const { platform, clock, random } = this.#options;
    const operationId = newId();
    return writeUntilResolved({
      ...{ platform, clock, random, key, value, operationId, started, limitMs },
      ifVersion: 0,
    });
  }

  #recordOf(submission: BatchSubmission, route: GatewayRoute, partCount: number): BatchRecord {
    const { id, host, path, model, step, minVersion, wantedGroups, items, account } = submission;
    const { batch, maxAttempts, name } = route;
    const priority = priorityOf(this.#options.tables.accounts?.accounts.get(account), route);
    return create(BatchRecordSchema, {
      ...{
        id,
        host,
        path,
        model,
        step,
        minVersion,
        wantedGroups,
        account,
        partCount,
        maxAttempts,
        priority,
      },
      route: name,
      pool: route.pools[0]?.pool ?? '',
      itemCount: items.length,
      submittedAtMs: BigInt(Math.round(this.#options.clock.nowMs())),
      resultDeadlineMs: batch?.resultDeadlineMs ?? route.timeoutMs,
      itemTtlMs: batch?.itemTtlMs ?? route.timeoutMs,
      singleVersion: batch?.singleVersion ?? false,
    });
  }

  /** Keeps the parts for a dispatcher on this node, which then need not read them. */
  #keepParts(record: BatchRecord, items: readonly (readonly BatchItem[])[]): void {
    const { parts, dispatches } = this.#options;
    const stored = items.map(toStoredPart);
    const sizeBytes = stored.reduce((sum, part) => sum + partBytes(part), 0);
    const isKept = sizeBytes <= MAX_KEPT_SUBMISSION_BYTES || dispatches(record.pool);
    for (const [index, part] of stored.entries()) {
      if (isKept) parts.put(record, index, part);
      else dropPart(part);
    }
  }
}
