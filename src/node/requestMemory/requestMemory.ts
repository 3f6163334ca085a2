import { create } from '@bufbuild/protobuf';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type ListUploadsResponse,
  ListUploadsResponseSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { releaseBytes } from '../../shared/byteCollector.ts';
import { LongStrings } from '../../shared/longStrings.ts';
import { requestError } from '../dataPath/problem.ts';
import { ResponseMemory } from '../dataPath/responseMemory.ts';
import { decodeCost, DecodeBudget } from '../decisions/requestMemory/decodeBudget.ts';
import { MemoryShares } from '../decisions/requestMemory/memoryShares.ts';
import { type MemoryPlan, planMemory } from '../decisions/requestMemory/memoryPlan.ts';
import type { RequestLimits } from '../gateway/gatewayTables.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ResolvedGateway } from '../settings/resolveSettings.ts';
import { ConnectionGuard } from './connectionGuard.ts';
import {
  DEFAULT_HEAD_TIMEOUT_MS,
  DEFAULT_IDLE_TIMEOUT_MS,
  DEFAULT_MAX_BODY_BYTES,
  DECODE_CHECK_INTERVAL_MS,
  MAX_DECODE_WAIT_MS,
  MAX_SWEEP_GAP_MS,
  MAX_WAITING_UPLOADS,
  MEMORY_RETRY_AFTER_MS,
  SWEEP_INTERVAL_MS,
  UNCOUNTED_RESPONSE_BYTES,
} from './constants.ts';
import { Uploads } from './uploads.ts';

export interface RequestMemoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'requestMemoryBytes' | 'callerConnections' | 'uploadsEnded'>;
  readonly gateway: Pick<ResolvedGateway, 'memoryMb' | 'fileDescriptors' | 'requestMemory'>;
  readonly requestLimits: () => RequestLimits | undefined;
  /** What batches make the node hold. @default nothing */
  readonly contents?: BatchContents;
}

/** What batches make a node hold. */
export interface BatchContents {
  readonly neededBytes: number;
  readonly cachedBytes: number;
  /** Gives up cached bytes that no longer fit. */
  trim(): void;
}

const NO_CONTENTS: BatchContents = { neededBytes: 0, cachedBytes: 0, trim() {} };

/** A submission that may be decoded and stored. Its memory counts until it is disposed of. */
export interface DecodingTurn extends Disposable {
  readonly strings: LongStrings;
  /** Returns the memory of the text, when the bodies of the items have been decoded. */
  releaseText(): void;
}

/** Room for the fields of a message that passes on a batch, in bytes; bodies of items are not larger than in the batch. */
const PEER_BODY_MARGIN_BYTES = 1024 * 1024;

/** Part of the connections that one client address may have. */
const ADDRESS_SHARE = 0.75;

/** Bounds what callers make a node hold: request bodies, responses, decoded submissions and connections. */
export class RequestMemory implements Disposable {
  readonly uploads: Uploads;

  readonly responses: ResponseMemory;

  /** Connections of callers, of other nodes, and to the readiness and directory addresses. */
  readonly callers: ConnectionGuard;

  readonly peers: ConnectionGuard;

  readonly status: ConnectionGuard;

  readonly #options: RequestMemoryOptions;

  readonly #decoding: DecodeBudget;

  readonly #shares: MemoryShares;

  readonly #contents: BatchContents;

  /** Number of refused and ended uploads, responses and connections by reason. */
  readonly #ended = new Map<string, number>();

  readonly #sweeps: Disposable;

  #lastSweepMs: number;

  constructor(options: RequestMemoryOptions) {
    this.#options = options;
    const { clock, gateway, contents = NO_CONTENTS } = options;
    const settings = gateway.requestMemory;
    const plan = (): MemoryPlan => planMemory(gateway, this.maxBodyBytes());
    this.#contents = contents;
    this.#shares = new MemoryShares(() => plan().freeBytes, {
      uploads: {
        usedBytes: () => this.uploads.heldBytes,
        reservedBytes: () => plan().reservedUploadBytes,
      },
      decoding: {
        usedBytes: () => this.#decoding.usedBytes,
        reservedBytes: () => plan().reservedDecodeBytes,
      },
      responses: {
        usedBytes: () => this.responses.usedBytes,
        reservedBytes: () => plan().reservedResponseBytes,
      },
      batches: {
        usedBytes: () => contents.neededBytes,
        reservedBytes: () => plan().reservedBatchBytes,
      },
    });
    const uploadRoomBytes = (): number =>
      Math.max(
        plan().minLargeUploadBytes,
        this.#shares.roomFor('uploads') - this.#smallUploadBytes,
      );
    this.uploads = new Uploads({
      clock,
      limits: {
        get largeBytes() {
          return settings.uploadBytes ?? Math.min(plan().largeUploadBytes, uploadRoomBytes());
        },
        smallBytes: plan().smallUploadBytes,
        minBytesPerSecond: settings.minUploadBytesPerSecond,
        maxWaitMs: settings.maxUploadWaitMs,
        maxWaiting: MAX_WAITING_UPLOADS,
      },
      onGrown: () => contents.trim(),
      onEnded: (reason, fields) => this.#recordEnd('upload-ended', reason, fields),
    });
    this.responses = new ResponseMemory(settings.responseBytes ?? plan().responseBytes);
    this.#decoding = new DecodeBudget(
      () => settings.decodeBytes ?? plan().decodeBytes,
      () => this.#shares.roomFor('decoding'),
    );
    const { callerDescriptors, peerDescriptors, statusDescriptors } = plan();
    const maxConnections = settings.maxConnections ?? callerDescriptors;
    const guard = (maxDescriptors: number, maxOfAddress: number, descriptorsPerRequest: number) =>
      new ConnectionGuard({
        clock,
        limits: {
          ...{ maxDescriptors, maxOfAddress, descriptorsPerRequest },
          maxPipelined: settings.maxPipelinedRequests,
        },
        onEnded: (reason, fields) => this.#recordEnd('connection-ended', reason, fields),
      });
    this.callers = guard(
      maxConnections,
      settings.maxConnectionsPerAddress ?? Math.floor(maxConnections * ADDRESS_SHARE),
      // A connection to a worker.
      1,
    );
    this.peers = guard(peerDescriptors, peerDescriptors, 0);
    this.status = guard(statusDescriptors, statusDescriptors, 0);
    this.#lastSweepMs = clock.monotonicMs();
    this.#sweeps = repeatEvery(clock, SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  maxBodyBytes(): number {
    return this.#options.requestLimits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  /**
   * Reads the complete body of a request. Its memory counts, and is returned, when the response is closed.
   *
   * @throws RequestError with outcome `not-run`
   */
  async readBody(request: IncomingMessage, response: ServerResponse): Promise<Buffer> {
    const body = await this.uploads.read(request, response, this.maxBodyBytes());
    response.once('close', () => releaseBytes(body));
    return body;
  }

  /**
   * Reads the complete body of a call of another node, which may pass on a batch submission in a larger encoding.
   *
   * @throws RequestError with outcome `not-run`
   */
  readPeerBody(request: IncomingMessage, response: ServerResponse): Promise<Buffer> {
    return this.uploads.read(request, response, this.maxBodyBytes() + PEER_BODY_MARGIN_BYTES);
  }

  /** Bytes that the contents of batches may occupy now. */
  get batchRoomBytes(): number {
    return this.#shares.roomFor('batches');
  }

  /**
   * Waits until a submission may be decoded and stored.
   *
   * @param body - the complete body of the submission
   * @param field - field whose long values are left out of the text
   * @throws RequestError with outcome `not-run`
   */
  async takeText(body: Buffer, field: string): Promise<DecodingTurn> {
    const { clock } = this.#options;
    const strings = new LongStrings(body, field);
    const costBytes = decodeCost(strings.text, strings.longBytes);
    const waited = new Stopwatch(clock);
    let held = this.#decoding.take(costBytes);
    while (held === 'full' && waited.elapsedMs() < MAX_DECODE_WAIT_MS) {
      await sleep(clock, DECODE_CHECK_INTERVAL_MS);
      held = this.#decoding.take(costBytes);
    }
    if (held === 'never' || held === 'full') {
      this.#recordEnd('decoding-refused', `decoding-${held}`, { bytes: body.length, costBytes });
      throw held === 'never'
        ? requestError('the body has too many values to be decoded; send fewer items at once', {
            ...{ outcome: 'not-run', statusCode: 413, code: 'body-too-complex' },
          })
        : requestError('the node decodes other submissions now; send it again later', {
            ...{ outcome: 'not-run', statusCode: 503, code: 'memory-full' },
            retryAfterMs: MEMORY_RETRY_AFTER_MS,
          });
    }
    this.#contents.trim();
    const turn = held;
    return {
      strings,
      releaseText: () => this.uploads.release(body),
      [Symbol.dispose]: () => turn[Symbol.dispose](),
    };
  }

  /** Counts the body of a response until the caller has read it; closes the connection if the memory is used up. */
  holdResponse(response: ServerResponse, body: Buffer): void {
    if (body.length <= UNCOUNTED_RESPONSE_BYTES) return;
    const share = this.responses.addUnread(body.length, () => {
      this.#recordEnd('connection-ended', 'responses-full', { bytes: body.length });
      response.destroy();
    });
    response.once('finish', () => releaseBytes(body));
    response.once('close', () => share[Symbol.dispose]());
  }

  /** What an operator sees. */
  view(): ListUploadsResponse {
    return create(ListUploadsResponseSchema, {
      limitBytes: BigInt(Math.floor(this.uploads.limitBytes + this.responses.limitBytes)),
      heldBytes: BigInt(this.uploads.heldBytes + this.responses.usedBytes),
      connections: this.callers.size,
      refused: Object.fromEntries(
        [...this.#ended].map(([reason, count]) => [reason, BigInt(count)]),
      ),
    });
  }

  [Symbol.dispose](): void {
    this.#sweeps[Symbol.dispose]();
  }

  get #smallUploadBytes(): number {
    return this.uploads.heldBytes - this.uploads.heldLargeBytes;
  }

  #sweep(): void {
    const { clock, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    const gapMs = nowMs - this.#lastSweepMs;
    this.#lastSweepMs = nowMs;
    metrics.requestMemoryBytes.set({ use: 'uploads' }, this.uploads.heldBytes);
    metrics.requestMemoryBytes.set({ use: 'responses' }, this.responses.usedBytes);
    metrics.requestMemoryBytes.set({ use: 'decoding' }, this.#decoding.usedBytes);
    this.#contents.trim();
    metrics.requestMemoryBytes.set({ use: 'batches' }, this.#contents.neededBytes);
    metrics.requestMemoryBytes.set({ use: 'batch-caches' }, this.#contents.cachedBytes);
    metrics.callerConnections.set(this.callers.size);
    if (gapMs > MAX_SWEEP_GAP_MS) return;
    const limits = this.#options.requestLimits();
    const idleMs = limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    const headTimeoutMs = limits?.headerTimeoutMs ?? DEFAULT_HEAD_TIMEOUT_MS;
    this.uploads.sweep(idleMs);
    for (const guard of [this.callers, this.peers, this.status]) {
      guard.sweep({ headTimeoutMs, unreadTimeoutMs: idleMs });
    }
  }

  #recordEnd(event: string, reason: string, fields: Readonly<Record<string, unknown>>): void {
    const { metrics, logger } = this.#options;
    metrics.uploadsEnded.inc({ reason });
    this.#ended.set(reason, (this.#ended.get(reason) ?? 0) + 1);
    logger.info(event, { reason, ...fields });
  }
}
