import { Protocol } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { InFlightCounts } from '../decisions/inFlightCounts.ts';
import type {
  MembershipView,
  TablesView,
  WorkerEndpoint,
  WorkerHealthReporter,
} from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { ResolvedPool } from '../tables/resolveTables.ts';
import type { EngineApi } from './engineApi.ts';
import { readServiceLoad } from './serviceLoad.ts';
import type { WorkerHttpClient } from './workerHttpClient.ts';

/** Shortest interval between polls of one worker, in ms. With many workers it is longer; see `MAX_POLLS_PER_SECOND`. */
const POLL_INTERVAL_MS = 1000;

/** Limit on the polls of one node. Each takes about 0.2 ms of CPU time, so that polling uses at most 1% of a core. */
const MAX_POLLS_PER_SECOND = 50;

/** Fraction of the delay between polls by which it varies at random, so that nodes do not poll in sync. */
const JITTER_FRACTION = 0.2;

/** Consecutive failed polls after which a worker gets no requests. A pause of this node can make a single one fail. */
const MAX_FAILED_POLLS = 2;

/** Time that a worker gets no requests after it refused a connection, in ms, unless a poll succeeds earlier. */
const REFUSED_BACKOFF_MS = 2000;

export interface WorkerLoadsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly engines: Pick<EngineApi, 'load'>;
  readonly http: WorkerHttpClient;
  readonly inFlight: InFlightCounts;
  readonly logger: Logger;
  /** Called after each poll, since it may change the capacity of the pool. */
  readonly onReport: (poolName: string) => void;
  /**
   * Receives changed worker states and refused connections.
   *
   * @default none
   */
  readonly workerReports?: WorkerHealthReporter;
}

interface LoadReport {
  state: 'ready' | 'loading' | 'leaving' | 'failed';
  /** Requests in progress or queued at the worker that this node did not send; undefined: not reported. */
  externalRequests: number | undefined;
  failedPolls: number;
  refusedUntilMs: number;
}

const newReport = (): LoadReport => ({
  state: 'ready',
  externalRequests: undefined,
  failedPolls: 0,
  refusedUntilMs: 0,
});

const isUsable = (report: LoadReport, nowMs: number): boolean =>
  report.state === 'ready' &&
  report.failedPolls < MAX_FAILED_POLLS &&
  report.refusedUntilMs <= nowMs;

/** All workers of a pool, usable ones first. Others are polled too, because only a poll shows that they recovered. */
const workersToPoll = (pool: ResolvedPool, membership: MembershipView): WorkerEndpoint[] => {
  const usable = membership.workersOf(pool.name);
  const addresses = new Set(usable.map(({ address }) => address));
  return [...usable, ...pool.workers.filter(({ address }) => !addresses.has(address))];
};

/**
 * Polls the load of all workers in a loop with jitter. Because the reports lag, this node's share of the load is taken
 * from its own in-flight counts.
 */
export class WorkerLoads implements Disposable {
  readonly #options: WorkerLoadsOptions;

  /** By worker address. Each polling round drops workers that are no longer in the tables. */
  #reports = new Map<string, LoadReport>();

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: WorkerLoadsOptions) {
    this.#options = options;
  }

  /** Starts polling. */
  start(): void {
    this.#pollRound();
  }

  /** Whether the worker may get requests according to its reports. A worker without a report may. */
  isUsable(address: string): boolean {
    const report = this.#reports.get(address);
    return report === undefined || isUsable(report, this.#options.clock.monotonicMs());
  }

  /** Requests in progress or queued at the worker that this node did not send; undefined: not reported. */
  externalRequestsAt(address: string): number | undefined {
    return this.#reports.get(address)?.externalRequests;
  }

  /** Records that a worker refused a connection; it gets no requests for `REFUSED_BACKOFF_MS`. */
  recordRefusedConnection(address: string): void {
    const report = this.#reports.get(address) ?? newReport();
    report.refusedUntilMs = this.#options.clock.monotonicMs() + REFUSED_BACKOFF_MS;
    this.#reports.set(address, report);
    this.#options.workerReports?.reportWorkerFailure(address, 'refused');
  }

  /** Polls one worker now. */
  async poll(pool: ResolvedPool, worker: WorkerEndpoint): Promise<void> {
    const previous = this.#reports.get(worker.address);
    const report = previous ?? {
      state: 'ready',
      externalRequests: undefined,
      failedPolls: 0,
      refusedUntilMs: 0,
    };
    try {
      const { state, activeRequests } = await this.#readLoad(pool, worker);
      const peak = this.#options.inFlight.takePeak(worker.address);
      if (previous === undefined || report.state !== state) {
        this.#options.workerReports?.reportWorkerState(worker.address, state);
      }
      report.externalRequests =
        activeRequests === undefined ? undefined : Math.max(0, activeRequests - peak);
      report.state = state;
      report.failedPolls = 0;
      report.refusedUntilMs = 0;
    } catch {
      report.failedPolls += 1;
      report.externalRequests = undefined;
      if (report.failedPolls === MAX_FAILED_POLLS) {
        this.#options.logger.warn('worker-unreachable', { pool: pool.name, worker: worker.name });
      }
    }
    if (this.#disposed) return;
    this.#reports.set(worker.address, report);
    this.#options.onReport(pool.name);
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer?.[Symbol.dispose]();
  }

  async #readLoad(
    pool: ResolvedPool,
    worker: WorkerEndpoint,
  ): Promise<{ state: LoadReport['state']; activeRequests: number | undefined }> {
    if (pool.protocol === Protocol.PLAIN_SERVICE) {
      const load = await readServiceLoad(this.#options.http, worker);
      return { state: load.state, activeRequests: load.running };
    }
    const load = await this.#options.engines.load(worker);
    return { state: load.state, activeRequests: load.running + load.waiting };
  }

  /** Polls every worker once, spread evenly over the interval, and then starts the next round. */
  #pollRound(): void {
    const { tables, membership } = this.#options;
    const pools = [...(tables.current()?.pools.values() ?? [])];
    const targets = pools.flatMap((pool) =>
      workersToPoll(pool, membership).map((worker) => ({ pool, worker })),
    );
    const polledAddresses = new Set(targets.map(({ worker }) => worker.address));
    this.#reports = new Map([...this.#reports].filter(([address]) => polledAddresses.has(address)));
    const intervalMs = Math.max(POLL_INTERVAL_MS, (targets.length * 1000) / MAX_POLLS_PER_SECOND);
    this.#pollNext(targets.values(), intervalMs / Math.max(1, targets.length));
  }

  #pollNext(
    targets: IterableIterator<{ pool: ResolvedPool; worker: WorkerEndpoint }>,
    spacingMs: number,
  ): void {
    if (this.#disposed) return;
    const { clock, random } = this.#options;
    const { value, done } = targets.next();
    if (!done) void this.poll(value.pool, value.worker);
    const jitteredMs = spacingMs * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random());
    this.#timer = clock.schedule(jitteredMs, () => {
      if (done) this.#pollRound();
      else this.#pollNext(targets, spacingMs);
    });
  }
}
