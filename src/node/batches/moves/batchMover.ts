import type { BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, Stopwatch } from '../../../shared/clock.ts';
import { messageOf } from '../../../shared/errors.ts';
import { newId, type Random } from '../../../shared/random.ts';
import { moveTargetOf } from '../../decisions/batchMoves/moveTarget.ts';
import type { Logger } from '../../observability/logger.ts';
import type { Metrics } from '../../observability/metrics.ts';
import type { PlatformClient, PlatformObject, WriteResult } from '../../platform/platformClient.ts';
import { writeUntilResolved } from '../../platform/writeUntilResolved.ts';
import { batchKey, encodeBatch, tryDecodeBatch } from '../batchObjects.ts';
import { MOVE_WRITE_LIMIT_MS } from '../constants.ts';
import type { PoolDispatcher } from '../poolDispatcher.ts';

export interface BatchMoverOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'batchMoves'>;
  readonly platform: PlatformClient;
  /** Pool of the dispatcher. */
  readonly pool: string;
  readonly dispatcher: Pick<PoolDispatcher, 'closed' | 'openRecords' | 'storeProgress' | 'forget'>;
  /** Stored object as this node last saw it. */
  readonly objectOf: (key: string) => PlatformObject | undefined;
  /** Pool that the route of a batch leads to now; undefined if there is no such route any more. */
  readonly routedPoolOf: (record: BatchRecord) => string | undefined;
  /** Number of workers of a pool that may receive new work. */
  readonly usableWorkers: (pool: string) => number;
}

/**
 * Moves open batches from a pool that has lost its last worker to the pools that their routes lead to now. A move is a
 * conditional write of the batch's record; the dispatcher of the other pool loads the batch when it sees the record.
 */
export class BatchMover {
  readonly #options: BatchMoverOptions;

  #isMoving = false;

  constructor(options: BatchMoverOptions) {
    this.#options = options;
  }

  /** Moves the batches whose pool is decided to be another one. Does not throw. */
  async moveBatches(): Promise<void> {
    const { dispatcher, pool, routedPoolOf, usableWorkers } = this.#options;
    if (this.#isMoving || usableWorkers(pool) > 0) return;
    this.#isMoving = true;
    try {
      for (const record of dispatcher.openRecords()) {
        const target = moveTargetOf({ pool, routedPool: routedPoolOf(record), usableWorkers });
        if (dispatcher.closed) return;
        if (target !== undefined) await this.#move(record, target);
      }
    } finally {
      this.#isMoving = false;
    }
  }

  async #move({ id, moves }: BatchRecord, target: string): Promise<void> {
    const { platform, clock, random, logger, metrics, dispatcher, pool, objectOf } = this.#options;
    const started = new Stopwatch(clock);
    const object = objectOf(batchKey(id));
    const record = object && tryDecodeBatch(object, logger);
    if (object === undefined || record?.pool !== pool || record.moves !== moves) return;
    if (record.endedAtMs > 0n) return;
    let outcome: WriteResult['status'] | 'failed';
    let reason: string | undefined;
    try {
      // Runs on leaving workers go on until the move is certain, so a platform that does not respond costs no work.
      await dispatcher.storeProgress(id);
      const result = await writeUntilResolved({
        ...{ platform, clock, random, key: object.key, ifVersion: object.version, started },
        value: encodeBatch({ ...record, pool: target, moves: moves + 1 }),
        ...{ operationId: newId(), limitMs: MOVE_WRITE_LIMIT_MS },
      });
      outcome = result.status;
    } catch (error) {
      outcome = 'failed';
      reason = messageOf(error);
    }
    // After any other outcome, the followed record tells whether the batch was moved.
    if (outcome === 'written') dispatcher.forget(id, 'batch-moved');
    metrics.batchMoves.inc({ pool, outcome });
    const tookMs = Math.round(started.elapsedMs());
    const fields = { batch: id, pool, target, moves: moves + 1, outcome, reason, tookMs };
    logger.info('batch-move', fields);
  }
}
