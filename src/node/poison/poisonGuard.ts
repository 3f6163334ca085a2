import { create } from '@bufbuild/protobuf';
import {
  type SuspectStatus,
  SuspectStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { type Clock, sleep } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { COMMON_LOSS_MS, CommonLosses } from '../decisions/poisonRequests/commonLosses.ts';
import {
  PoisonRequests,
  type PoisonVerdict,
  type SuspectedRequest,
} from '../decisions/poisonRequests/poisonRequests.ts';
import {
  requestRetrialPauseMs,
  type RetrialPause,
} from '../decisions/poisonRequests/retrialPause.ts';
import { TrialWindows } from '../decisions/poisonRequests/trialWindows.ts';
import type { CalledWorker } from '../gateway/workerCalls.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { RecentAnswers } from './recentAnswers.ts';
import { type DigestedRequest, requestDigest } from './requestDigest.ts';
import { type TrialSlot, TrialSlots } from './trialSlots.ts';
import { WorkerEndProbe } from './workerEndProbe.ts';

/** Longest time for which a suspected request keeps others waiting, in ms; streams and long requests go on beside them. */
export const MAX_TRIAL_MS = 250;

/** Longest time for which a request with a failed trial keeps equal ones from being tried, in ms. */
const MAX_RETRIAL_MS = 1000;

/** Largest part by which a node's pauses are longer than those of others, so that not all nodes try a request at once. */
const MAX_PAUSE_SPREAD = 0.5;

/** Number of other workers that are probed when a worker ended during a trial. */
const MAX_PROBED_WORKERS = 3;

/** Part of a pool's workers on which suspected requests run at the same time, one on each. */
const MAX_TRIAL_SHARE = 0.5;

export interface PoisonGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'workerEnds'>;
  /** Draws by how much later than others this node tries condemned requests again. @default no later */
  readonly random?: Random;
  /** @default a connection to the worker's address */
  readonly hasEnded?: (address: string) => Promise<boolean>;
  /** Whether a worker has said that it leaves, or is no longer registered; its end is then no news. @default never */
  readonly isLeaving?: (worker: string) => boolean;
  /** Workers of a pool, of which some are probed to find out whether several are lost. @default none is probed */
  readonly workersOf?: (pool: string) => readonly CalledWorker[];
}

/** An attempt that a worker broke off. */
export interface BrokenAttempt {
  readonly request: DigestedRequest & { readonly id: string };
  readonly worker: CalledWorker;
  readonly pool: string;
  /** Whether the request ran as a trial. */
  readonly trial: boolean;
  /** Monotonic time at which it was sent to the worker, in ms. */
  readonly startedMs: number;
  /** Number of this node's other requests on the worker. */
  readonly others: number;
  /** Whether the worker had run the request for so long that its end says nothing of it. @default false */
  readonly hasOutlived?: boolean;
}

/** A probe in progress of a worker that broke off an attempt. */
interface EndProbe {
  readonly pool: string;
  /** Monotonic time at which the attempt was broken off, in ms. */
  readonly brokenMs: number;
  readonly ended: Promise<unknown>;
}

/** Identifies one start of a worker. */
export const startOf = ({ id, startedAtMs }: CalledWorker): string => `${id}@${startedAtMs}`;

/** Recognises requests under which workers end, and keeps them from further workers. */
export class PoisonGuard {
  readonly requests = new PoisonRequests();

  /** Suspected requests that this node runs at each worker, by worker. */
  readonly windows = new TrialWindows();

  readonly #options: PoisonGuardOptions;

  readonly #trials = new TrialSlots();

  readonly #losses = new CommonLosses();

  /** Probes in progress of workers that broke off attempts. Bounded by requests in progress. */
  readonly #endProbes = new Set<EndProbe>();

  /** Answers while no request was suspected. */
  readonly #recentAnswers = new RecentAnswers();

  /** Resolved when it is known whether the last trial of a request has failed, by digest. */
  readonly #judged = new Map<string, Promise<void>>();

  /** Digests of requests with a failed trial that are tried again now. */
  readonly #retried = new Set<string>();

  readonly #requestPauseMs: RetrialPause;

  readonly #hasEnded: (address: string) => Promise<boolean>;

  #onChange: ((digest: string) => void) | undefined;

  /** Number of broken attempts of a request whose workers are being probed, by digest. Bounded by requests in progress. */
  readonly #probed = new Map<string, number>();

  readonly #digests = new WeakMap<DigestedRequest, string>();

  constructor(options: PoisonGuardOptions) {
    this.#options = options;
    const probe = new WorkerEndProbe(options.clock);
    const pauseFactor = 1 + MAX_PAUSE_SPREAD * (options.random?.() ?? 0);
    this.#requestPauseMs = (failedTrials) => pauseFactor * requestRetrialPauseMs(failedTrials);
    this.#hasEnded = options.hasEnded ?? ((address) => probe.hasEnded(address));
  }

  /** @param onChange - called when this node has learned something by its own requests, with their digest */
  listen(onChange: (digest: string) => void): void {
    this.#onChange = onChange;
  }

  /** Whether a request is suspected, or the worker of one is being probed. */
  get hasSuspects(): boolean {
    return this.requests.size > 0 || this.#probed.size > 0;
  }

  /**
   * What to do with a request.
   *
   * @param pauseMs - time from the last end of a worker to another trial @default that of requests
   */
  verdictOf(request: DigestedRequest, pauseMs: RetrialPause = this.#requestPauseMs): PoisonVerdict {
    // Without suspected requests, none is digested.
    if (!this.hasSuspects) return 'unsuspected';
    const digest = this.#digestOf(request);
    if (this.#judged.has(digest)) return 'condemned';
    const nowMs = this.#options.clock.monotonicMs();
    const verdict = this.requests.verdictOf(digest, nowMs, pauseMs);
    // Without this, a slow probe lets a hedged attempt take a second worker with it.
    return verdict === 'unsuspected' && this.#probed.has(digest) ? 'suspected' : verdict;
  }

  /** Number of workers that ended under a request. */
  endsOf(request: DigestedRequest): number {
    return this.requests.endsOf(this.#digestOf(request), this.#options.clock.monotonicMs());
  }

  /** Time since a worker ended under a request, in ms; infinite if none did. */
  sinceLastEndMs(request: DigestedRequest): number {
    const nowMs = this.#options.clock.monotonicMs();
    return nowMs - this.requests.lastEndMs(this.#digestOf(request), nowMs);
  }

  /**
   * Waits until a suspected request may run. The result ends its trial, which is survived after `MAX_TRIAL_MS`; undefined if
   * `signal` was aborted first, or if an equal request with a failed trial is being tried again.
   *
   * @param workerCount - number of workers of the pool
   */
  async startTrial(
    request: DigestedRequest,
    pool: string,
    workerCount: number,
    signal: AbortSignal,
  ): Promise<TrialSlot | undefined> {
    const capacity = Math.max(1, Math.floor(workerCount * MAX_TRIAL_SHARE));
    const slot = await this.#trials.acquire(pool, capacity, signal);
    if (slot === undefined) return undefined;
    const digest = this.#digestOf(request);
    if (this.#retried.has(digest)) {
      slot[Symbol.dispose]();
      return undefined;
    }
    const { clock } = this.#options;
    const isRetrial = this.requests.hasFailedTrial(digest, clock.monotonicMs());
    if (isRetrial) this.#retried.add(digest);
    const endRetrial = () => isRetrial && this.#retried.delete(digest);
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      slot[Symbol.dispose]();
    };
    const pass = () => {
      if (ended) return;
      slot.pass();
      end();
    };
    const timers = [clock.schedule(MAX_TRIAL_MS, pass), clock.schedule(MAX_RETRIAL_MS, endRetrial)];
    return {
      pass,
      [Symbol.dispose]: () => {
        for (const timer of timers) timer[Symbol.dispose]();
        endRetrial();
        end();
      },
    };
  }

  /**
   * Finds out whether the worker has ended, and holds that against the request. Returns whether it has. A trial counts as
   * failed unless half of the pool was lost at the same time, which has another reason.
   */
  recordBroken(attempt: BrokenAttempt): Promise<boolean> {
    const { request, worker, pool } = attempt;
    if (this.#options.isLeaving?.(worker.id)) return Promise.resolve(false);
    const brokenMs = this.#options.clock.monotonicMs();
    // Before the wait, because the body's memory is returned once the caller has its answer.
    const digest = this.#digestOf(request);
    this.#probed.set(digest, (this.#probed.get(digest) ?? 0) + 1);
    const probe = this.#hasEnded(worker.address)
      .then((hasEnded) => {
        if (hasEnded) this.#recordEnd(attempt, digest, brokenMs);
        return hasEnded;
      })
      .finally(() => this.#endProbe(digest));
    const inProgress = { pool, brokenMs, ended: probe.catch(() => {}) };
    this.#endProbes.add(inProgress);
    return probe.finally(() => this.#endProbes.delete(inProgress));
  }

  /**
   * Finds out whether a worker that has just ended during a trial was lost together with others, half of the pool or more in
   * all, so that the trial says nothing. Workers that were lost earlier do not count as part of the pool.
   *
   * @param startedMs - when the trial started
   */
  async isCommonLoss(pool: string, worker: CalledWorker, startedMs: number): Promise<boolean> {
    const { clock, workersOf } = this.#options;
    // A busy machine finds the ends of workers that were lost together at different times.
    const atMs = this.#losses.timeOf(startOf(worker)) ?? clock.monotonicMs();
    const others = (workersOf?.(pool) ?? []).filter(
      (other) =>
        other.id !== worker.id && !this.#losses.hasLost(startOf(other), atMs - COMMON_LOSS_MS),
    );
    const unknown = others.filter((other) => !this.#losses.hasLost(startOf(other)));
    const [probes] = await Promise.all([
      Promise.all(
        unknown.slice(0, MAX_PROBED_WORKERS).map(({ address }) => this.#hasEnded(address)),
      ),
      sleep(clock, COMMON_LOSS_MS),
    ]);
    await Promise.all(
      [...this.#endProbes]
        .filter((probe) => probe.pool === pool && probe.brokenMs - atMs <= COMMON_LOSS_MS)
        .map(({ ended }) => ended),
    );
    const lost = this.#losses.countWith(pool, startOf(worker), atMs, startedMs);
    const probedLost = probes.filter(Boolean).length;
    return (lost > 0 && lost + 1 >= (others.length + 1) / 2) || probedLost > probes.length / 2;
  }

  /** Resolves when it is known whether the last trial of a request has failed. */
  async judged(request: DigestedRequest): Promise<void> {
    if (this.#judged.size > 0) await this.#judged.get(this.#digestOf(request));
  }

  /**
   * Clears a suspected request at an operator's request, at this node and the others.
   *
   * @returns whether the digest is that of a suspected request
   */
  clear(digest: string): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    const isSuspected = this.requests.verdictOf(digest, nowMs) !== 'unsuspected';
    const cleared = isSuspected && this.requests.recordAnswer(digest, nowMs);
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

  /** Clears a suspected request that a worker has answered, and remembers the answer to another one. */
  recordAnswer(request: DigestedRequest & { readonly id: string }): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.requests.size === 0) {
      this.#recentAnswers.record(request, nowMs);
      return;
    }
    const digest = this.#digestOf(request);
    if (!this.requests.recordAnswer(digest, nowMs)) return;
    this.#options.logger.info('request-cleared', { request: request.id, digest });
    this.#onChange?.(digest);
  }

  /**
   * Adds what another node knows of a request. If this node's workers have answered it since some of the ends, the others are
   * told. Returns whether it was news.
   */
  learn(request: SuspectedRequest): boolean {
    const { digest, answeredMs } = request;
    for (const recent of this.#recentAnswers.take()) {
      this.requests.rememberAnswer(requestDigest(recent.request), recent.answeredMs);
    }
    const knownMs = this.requests.find(digest)?.answeredMs ?? -Infinity;
    if (!this.requests.merge(request, this.#options.clock.monotonicMs())) return false;
    const mergedMs = this.requests.find(digest)?.answeredMs ?? -Infinity;
    if (mergedMs > Math.max(knownMs, answeredMs)) this.#onChange?.(digest);
    return true;
  }

  #recordEnd(attempt: BrokenAttempt, digest: string, brokenMs: number): void {
    const { worker, pool, trial, startedMs, hasOutlived = false } = attempt;
    const { clock } = this.#options;
    const atMs = clock.monotonicMs();
    const end = { worker: startOf(worker), atMs };
    this.windows.reset(worker.id);
    this.#trials.reset(pool);
    this.#losses.record(pool, startOf(worker), brokenMs);
    if (!hasOutlived) this.requests.recordEnd(digest, { ...end, trial: false });
    if (!trial) {
      this.#reportEnd(attempt, digest);
      return;
    }
    this.#onChange?.(digest);
    const judged = this.isCommonLoss(pool, worker, startedMs).then((isCommon) => {
      if (this.#judged.get(digest) === judged) this.#judged.delete(digest);
      const hasFailed = !isCommon;
      if (hasFailed) this.requests.recordEnd(digest, { ...end, trial: true });
      this.#reportEnd({ ...attempt, trial: hasFailed }, digest);
    });
    this.#judged.set(digest, judged);
  }

  #reportEnd({ request, worker, pool, trial, others }: BrokenAttempt, digest: string): void {
    const { clock, logger, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    metrics.workerEnds.inc({ pool, trial: String(trial) });
    logger.warn('worker-ended-under-request', {
      ...{ request: request.id, digest, worker: worker.id, pool, trial, others },
      ends: this.requests.endsOf(digest, nowMs),
      verdict: this.requests.verdictOf(digest, nowMs),
    });
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
