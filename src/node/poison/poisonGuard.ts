import { create } from '@bufbuild/protobuf';
import {
  type SuspectStatus,
  SuspectStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { PoisonRequests, type PoisonVerdict } from '../decisions/poisonRequests/poisonRequests.ts';
import type { CalledWorker } from '../gateway/workerCalls.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { type DigestedRequest, requestDigest } from './requestDigest.ts';
import { TrialSlots } from './trialSlots.ts';
import { WorkerEndProbe } from './workerEndProbe.ts';

/** Longest time for which a suspected request keeps others waiting, in ms; streams and long requests go on beside them. */
export const MAX_TRIAL_MS = 250;

/** Part of a pool's workers on which suspected requests run at the same time, one on each. */
const MAX_TRIAL_SHARE = 0.5;

export interface PoisonGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'workerEnds'>;
  /** @default a connection to the worker's address */
  readonly hasEnded?: (address: string) => Promise<boolean>;
}

/** An attempt that a worker broke off. */
export interface BrokenAttempt {
  readonly request: DigestedRequest & { readonly id: string };
  readonly worker: CalledWorker;
  readonly pool: string;
  /** Whether the request ran as a trial. */
  readonly trial: boolean;
  /** Number of this node's other requests on the worker. */
  readonly others: number;
}

/** Recognises requests under which workers end, and keeps them from further workers. */
export class PoisonGuard {
  readonly requests = new PoisonRequests();

  /** Workers on which this node runs a suspected request. */
  readonly trialWorkers = new Set<string>();

  readonly #options: PoisonGuardOptions;

  readonly #trials = new TrialSlots();

  /** Digests of requests with a failed trial that are tried again now. */
  readonly #retried = new Set<string>();

  readonly #hasEnded: (address: string) => Promise<boolean>;

  #onChange: ((digest: string) => void) | undefined;

  /** Number of broken attempts of a request whose workers are being probed, by digest. Bounded by requests in progress. */
  readonly #probed = new Map<string, number>();

  readonly #digests = new WeakMap<DigestedRequest, string>();

  constructor(options: PoisonGuardOptions) {
    this.#options = options;
    const probe = new WorkerEndProbe(options.clock);
    this.#hasEnded = options.hasEnded ?? ((address) => probe.hasEnded(address));
  }

  /** @param onChange - called when this node has learned something by its own requests, with their digest */
  listen(onChange: (digest: string) => void): void {
    this.#onChange = onChange;
  }

  /**
   * What to do with a request.
   *
   * @param retrialMs - time from the last end of a worker to another trial @default `REQUEST_RETRIAL_MS`
   */
  verdictOf(request: DigestedRequest, retrialMs?: number): PoisonVerdict {
    // Without suspected requests, none is digested.
    if (this.requests.size === 0 && this.#probed.size === 0) return 'unsuspected';
    const digest = this.#digestOf(request);
    const nowMs = this.#options.clock.monotonicMs();
    const verdict = this.requests.verdictOf(digest, nowMs, retrialMs);
    // Without this, a slow probe lets a hedged attempt take a second worker with it.
    return verdict === 'unsuspected' && this.#probed.has(digest) ? 'suspected' : verdict;
  }

  /** Number of workers that ended under a request. */
  endsOf(request: DigestedRequest): number {
    return this.requests.endsOf(this.#digestOf(request), this.#options.clock.monotonicMs());
  }

  /**
   * Waits until a suspected request may run. The result ends its trial, which also ends after `MAX_TRIAL_MS`; undefined if
   * `signal` was aborted first, or if an equal request with a failed trial is being tried again.
   *
   * @param workerCount - number of workers of the pool
   */
  async startTrial(
    request: DigestedRequest,
    pool: string,
    workerCount: number,
    signal: AbortSignal,
  ): Promise<Disposable | undefined> {
    const capacity = Math.max(1, Math.floor(workerCount * MAX_TRIAL_SHARE));
    const slot = await this.#trials.acquire(pool, capacity, signal);
    if (slot === undefined) return undefined;
    const digest = this.#digestOf(request);
    if (this.#retried.has(digest)) {
      slot[Symbol.dispose]();
      return undefined;
    }
    const { clock } = this.#options;
    if (this.requests.hasFailedTrial(digest, clock.monotonicMs())) this.#retried.add(digest);
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      this.#retried.delete(digest);
      slot[Symbol.dispose]();
    };
    const timer = clock.schedule(MAX_TRIAL_MS, end);
    return {
      [Symbol.dispose]() {
        timer[Symbol.dispose]();
        end();
      },
    };
  }

  /** Finds out whether the worker has ended, and holds that against the request. Returns whether it has. */
  async recordBroken({ request, worker, pool, trial, others }: BrokenAttempt): Promise<boolean> {
    // Before the wait, because the body's memory is returned once the caller has its answer.
    const digest = this.#digestOf(request);
    this.#probed.set(digest, (this.#probed.get(digest) ?? 0) + 1);
    const hasEnded = await this.#hasEnded(worker.address).finally(() => this.#endProbe(digest));
    if (!hasEnded) return false;
    const { clock, logger, metrics } = this.#options;
    const atMs = clock.monotonicMs();
    this.requests.recordEnd(digest, { worker: `${worker.id}@${worker.startedAtMs}`, trial, atMs });
    metrics.workerEnds.inc({ pool, trial: String(trial) });
    logger.warn('worker-ended-under-request', {
      ...{ request: request.id, digest, worker: worker.id, pool, trial, others },
      ends: this.requests.endsOf(digest, atMs),
      verdict: this.requests.verdictOf(digest, atMs),
    });
    this.#onChange?.(digest);
    return true;
  }

  /**
   * Clears a suspected request at an operator's request, at this node and the others.
   *
   * @returns whether the digest is that of a suspected request
   */
  clear(digest: string): boolean {
    const cleared = this.requests.recordAnswer(digest, this.#options.clock.monotonicMs());
    this.#options.logger.info('suspicion-cleared-by-operator', { digest, found: cleared });
    if (cleared) this.#onChange?.(digest);
    return cleared;
  }

  /** Suspected requests, for operators. */
  suspects(): SuspectStatus[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.requests.all(nowMs).flatMap(({ digest, ends }) => {
      const verdict = this.requests.verdictOf(digest, nowMs);
      if (verdict === 'unsuspected') return [];
      const lastEndMs = Math.max(...ends.map(({ atMs }) => atMs));
      return create(SuspectStatusSchema, {
        ...{ digest, verdict, workerEnds: this.requests.endsOf(digest, nowMs) },
        lastEndAgeMs: Math.round(nowMs - lastEndMs),
      });
    });
  }

  /** Clears a suspected request that a worker has answered. */
  recordAnswer(request: DigestedRequest & { readonly id: string }): void {
    if (this.requests.size === 0) return;
    const digest = this.#digestOf(request);
    if (!this.requests.recordAnswer(digest, this.#options.clock.monotonicMs())) return;
    this.#options.logger.info('request-cleared', { request: request.id, digest });
    this.#onChange?.(digest);
  }

  #endProbe(digest: string): void {
    const left = (this.#probed.get(digest) ?? 1) - 1;
    if (left === 0) this.#probed.delete(digest);
    else this.#probed.set(digest, left);
  }

  #digestOf(request: DigestedRequest): string {
    const known = this.#digests.get(request);
    if (known !== undefined) return known;
    const digest = requestDigest(request);
    this.#digests.set(request, digest);
    return digest;
  }
}
