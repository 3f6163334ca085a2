import { create } from '@bufbuild/protobuf';
import {
  type BatchItem,
  type BatchRecord,
  BatchRecordSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { newId, type Random } from '../../shared/random.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, WriteResult } from '../platform/platformClient.ts';
import { writeResolved } from '../platform/resolveUnknown.ts';
import {
  batchKey,
  encodeBatch,
  encodeItems,
  isBatchId,
  itemsKey,
  splitItems,
} from './batchObjects.ts';
import { ACCEPT_LIMIT_MS, MAX_KEPT_SUBMISSIONS, REFUSE_LIMIT_MS } from './constants.ts';

/** A batch as a trainer submits it. */
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
}

/** What became of a submission. */
export type AcceptResult =
  /** The batch is kept, also over the loss of every node. */
  | { readonly kind: 'accepted' }
  /** No part of the batch runs because of this submission. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** The batch may have been accepted. */
  | { readonly kind: 'unknown'; readonly reason: string }
  | { readonly kind: 'invalid'; readonly reason: string };

export interface BatchAcceptorOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Largest value of an object, in bytes. */
  readonly maxValueBytes: number;
}

const faultOf = ({ id, items }: BatchSubmission): string | undefined => {
  if (!isBatchId(id)) return 'the id of a batch has 1 to 64 letters, digits, dashes or underscores';
  if (items.length === 0) return 'a batch needs at least one item';
  const ids = new Set(items.map((item) => item.id));
  return ids.size === items.length ? undefined : 'two items of the batch have the same id';
};

const judgeStored = (stored: WriteResult): AcceptResult => {
  // A conflict: another submission of the same batch came first.
  if (stored.status === 'written' || stored.status === 'conflict') return { kind: 'accepted' };
  if (stored.status === 'unavailable') return { kind: 'refused', reason: stored.reason };
  return { kind: 'unknown', reason: 'the answer of the platform was lost' };
};

/**
 * Accepts batches: first the items are written, then the record that makes them a batch. Only the second write decides,
 * so a submission that was refused before it leaves nothing behind that would run.
 */
export class BatchAcceptor {
  readonly #options: BatchAcceptorOptions;

  /** Submissions in progress, so that a repeat at the same node waits for the first. */
  readonly #inProgress = new Map<string, Promise<AcceptResult>>();

  /** Items of batches accepted here, so that a dispatcher on the same node need not read them back. */
  readonly #kept = new Map<string, readonly BatchItem[]>();

  constructor(options: BatchAcceptorOptions) {
    this.#options = options;
  }

  accept(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const fault = faultOf(submission);
    if (fault !== undefined) return Promise.resolve({ kind: 'invalid', reason: fault });
    const running = this.#inProgress.get(submission.id);
    if (running) return running;
    const result = this.#accept(submission, route).finally(() =>
      this.#inProgress.delete(submission.id),
    );
    this.#inProgress.set(submission.id, result);
    return result;
  }

  /** Items of a batch that was accepted here lately. */
  itemsOf(batchId: string): readonly BatchItem[] | undefined {
    return this.#kept.get(batchId);
  }

  async #accept(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const { clock, maxValueBytes, logger } = this.#options;
    const started = new Stopwatch(clock);
    const parts = splitItems(submission.items, maxValueBytes);
    const written = await Promise.all(
      parts.map((items, part) =>
        this.#create(itemsKey(submission.id, part), encodeItems(items), started, REFUSE_LIMIT_MS),
      ),
    );
    // Items alone make no batch, so an unknown result is no reason to promise less than a refusal.
    const failed = written.find(({ status }) => status !== 'written' && status !== 'conflict');
    let result: AcceptResult;
    if (failed !== undefined) {
      result = { kind: 'refused', reason: `the items could not be stored: ${failed.status}` };
    } else {
      const record = this.#recordOf(submission, route, parts.length);
      const stored = await this.#create(
        batchKey(submission.id),
        encodeBatch(record),
        started,
        ACCEPT_LIMIT_MS,
      );
      result = judgeStored(stored);
    }
    if (result.kind === 'accepted') this.#keep(submission);
    logger.info('batch-submitted', {
      batch: submission.id,
      route: route.name,
      step: submission.step,
      items: submission.items.length,
      parts: parts.length,
      outcome: result.kind,
      reason: result.kind === 'accepted' ? undefined : result.reason,
      tookMs: Math.round(started.elapsedMs()),
    });
    return result;
  }

  #create(key: string, value: unknown, started: Stopwatch, limitMs: number): Promise<WriteResult> {
    const { platform, clock, random } = this.#options;
    const operationId = newId();
    return writeResolved({
      ...{ platform, clock, random, key, value, operationId, started, limitMs },
      ifVersion: 0,
    });
  }

  #recordOf(submission: BatchSubmission, route: GatewayRoute, partCount: number): BatchRecord {
    const { id, host, path, model, step, minVersion, wantedGroups, items } = submission;
    const { batch, maxAttempts, priority, name } = route;
    return create(BatchRecordSchema, {
      ...{
        id,
        host,
        path,
        model,
        step,
        minVersion,
        wantedGroups,
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

  #keep({ id, items }: BatchSubmission): void {
    this.#kept.set(id, items);
    const [oldest] = this.#kept.keys();
    if (this.#kept.size > MAX_KEPT_SUBMISSIONS && oldest !== undefined) this.#kept.delete(oldest);
  }
}
