import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  AcceptBatchResponseSchema,
  AcceptStatus,
  BatchChangedResponseSchema,
  type BatchRecord,
  type BatchService as BatchRpc,
  type DispatcherRecord,
  type ItemProgress,
  ReadResultsResponseSchema,
  ReadStatus,
  ReleasePoolResponseSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import { type BatchCaller, mayAccessBatch } from '../decisions/accounts/batchOwnership.ts';
import type { BatchClient, PeerAddress } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import type { AcceptResult, BatchSubmission } from './batchAcceptor.ts';
import type { BatchCoordinator } from './batchCoordinator.ts';
import { batchKey, decodeBatch, encodeBatch, isBatchId } from './batchObjects.ts';
import { END_WRITE_LIMIT_MS, MAX_END_ATTEMPTS } from './constants.ts';

/** Outcome of a request to end a batch. `unknown`: the batch may have ended. */
export type EndResult = 'ended' | 'no-such-batch' | 'unavailable' | 'unknown';

export interface EndBatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  readonly caller: BatchCaller;
  /** Called after this node has marked a batch as ended. */
  readonly onEnded: (record: BatchRecord) => void;
}

/** Marks a batch as ended in its record. The dispatcher stops the batch's runs when it sees the change. */
export const endBatch = async (
  batchId: string,
  { clock, random, platform, logger, caller, onEnded }: EndBatchOptions,
): Promise<EndResult> => {
  if (!isBatchId(batchId)) return 'no-such-batch';
  const started = new Stopwatch(clock);
  let mayHaveEnded = false;
  for (let attempt = 0; attempt < MAX_END_ATTEMPTS; attempt += 1) {
    try {
      const object = await platform.read(batchKey(batchId));
      if (object === undefined) return 'no-such-batch';
      const record: BatchRecord = decodeBatch(object.value);
      if (!mayAccessBatch(record.account, caller)) {
        logger.info('batch-end-refused', { batch: batchId, account: caller });
        return 'no-such-batch';
      }
      if (record.endedAtMs > 0n) return 'ended';
      record.endedAtMs = BigInt(Math.round(clock.nowMs()));
      const result = await writeUntilResolved({
        ...{ platform, clock, random, key: object.key, value: encodeBatch(record) },
        ifVersion: object.version,
        operationId: newId(),
        started,
        limitMs: END_WRITE_LIMIT_MS,
      });
      logger.info('batch-end-requested', {
        batch: batchId,
        account: caller,
        outcome: result.status,
      });
      if (result.status === 'written') {
        onEnded(record);
        return 'ended';
      }
      if (result.status === 'unknown') mayHaveEnded = true;
    } catch (error) {
      logger.warn('batch-end-failed', { batch: batchId, message: messageOf(error) });
    }
  }
  return mayHaveEnded ? 'unknown' : 'unavailable';
};

/** Statuses of refused submissions between nodes. */
const ACCEPT_STATUSES = {
  unknown: AcceptStatus.UNSPECIFIED,
  refused: AcceptStatus.REFUSED,
  invalid: AcceptStatus.REFUSED,
  'other-account': AcceptStatus.OTHER_ACCOUNT,
} as const;

/** Creates the handlers for batch calls from other nodes. */
export const createBatchHandlers = (
  coordinators: () => readonly BatchCoordinator[],
  accept: (submission: BatchSubmission) => Promise<AcceptResult>,
): Partial<ServiceImpl<typeof BatchRpc>> => ({
  async acceptBatch(request) {
    const result = await accept(request);
    if (result.kind === 'accepted') {
      return create(AcceptBatchResponseSchema, { status: AcceptStatus.ACCEPTED });
    }
    const { kind, reason } = result;
    return create(AcceptBatchResponseSchema, { status: ACCEPT_STATUSES[kind], reason });
  },
  async readResults({ batchId, after, waitMs, account }) {
    for (const { dispatcher } of coordinators()) {
      const owner = dispatcher?.ownerOf(batchId);
      if (owner !== undefined && !mayAccessBatch(owner, account)) {
        return create(ReadResultsResponseSchema, { status: ReadStatus.OTHER_ACCOUNT });
      }
      const read = await dispatcher?.read(batchId, after, waitMs);
      if (read !== undefined) {
        return create(ReadResultsResponseSchema, {
          status: ReadStatus.OK,
          total: read.total,
          results: [...read.results],
        });
      }
    }
    return create(ReadResultsResponseSchema, { status: ReadStatus.NOT_DISPATCHER });
  },
  batchChanged({ pool, batchId, ended }) {
    const coordinator = coordinators().find((candidate) => candidate.pool === pool);
    coordinator?.batchChanged(batchId, ended);
    return create(BatchChangedResponseSchema, { full: coordinator?.isFull ?? false });
  },
  releasePool({ pool, term }) {
    const coordinator = coordinators().find((candidate) => candidate.pool === pool);
    return create(ReleasePoolResponseSchema, { items: coordinator?.release(term) ?? [] });
  },
});

/** Timeout for another node to accept a batch, in ms. Includes storing the items and the record. */
const ACCEPT_TIMEOUT_MS = 1500;

/** Submits a batch through another node. When the call fails, the batch may still have been accepted. */
export const acceptViaPeer = async (
  client: BatchClient,
  { id, host, path, model, step, minVersion, wantedGroups, items, account }: BatchSubmission,
): Promise<AcceptResult> => {
  try {
    const { status, reason } = await client.acceptBatch(
      { id, host, path, model, step, minVersion, wantedGroups, items: [...items], account },
      { timeoutMs: ACCEPT_TIMEOUT_MS },
    );
    if (status === AcceptStatus.ACCEPTED) return { kind: 'accepted' };
    if (status === AcceptStatus.OTHER_ACCOUNT) return { kind: 'other-account', reason };
    return { kind: status === AcceptStatus.REFUSED ? 'refused' : 'unknown', reason };
  } catch (error) {
    return { kind: 'unknown', reason: `call to the other node failed: ${messageOf(error)}` };
  }
};

/**
 * Timeout for the former dispatcher to hand over its progress, in ms. A former dispatcher that is awaited usually runs: it
 * is leaving or has lost the platform. On a small VM, stopping its runs and sending the texts of two steps takes over 400 ms.
 */
const RELEASE_TIMEOUT_MS = 1200;

/**
 * Asks the former dispatcher of a pool to stop and hand over its progress. Returns no progress when the call fails;
 * items then continue from what is stored at the platform.
 */
export const releaseFormerDispatcher = async (
  client: (address: PeerAddress) => BatchClient,
  former: DispatcherRecord,
  { pool, term }: { readonly pool: string; readonly term: number },
  logger: Logger,
): Promise<ItemProgress[]> => {
  try {
    const response = await client(former).releasePool(
      { pool, term },
      { timeoutMs: RELEASE_TIMEOUT_MS },
    );
    return response.items;
  } catch (error) {
    const { node } = former;
    logger.info('dispatcher-release-failed', { pool, node, message: messageOf(error) });
    return [];
  }
};
