import { Protocol } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { InFlightCounts } from '../decisions/inFlightCounts.ts';
import type {
  MembershipView,
  TablesView,
  WorkerEndpoint,
  WorkerReports,
} from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { ResolvedPool } from '../tables/resolveTables.ts';
import type { EngineApi } from './engineApi.ts';
import { readServiceLoad } from './serviceLoad.ts';
import type { WorkerHttp } from './workerHttp.ts';

/** Time between polls of one worker, in ms, while there are few workers. */
const POLL_INTERVAL_MS = 1000;

/** Polls of one node per second. Each costs about 0.2 ms of CPU time; this bounds them to 1% of a core. */
const MAX_POLLS_PER_SECOND = 50;

/** Share of the interval by which polls are moved at random, so that nodes don't poll together. */
const JITTER_FRACTION = 0.2;

/** Failed polls in a row after which a worker gets no requests. One may be lost to a pause of this node. */
const MAX_FAILED_POLLS = 2;

/** How long a worker that refused a connection gets no requests, in ms, unless a poll succeeds earlier. */
const REFUSED_BACKOFF_MS = 2000;

export interface WorkerLoadsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly engines: Pick<EngineApi, 'load'>;
  readonly http: WorkerHttp;
  readonly inFlight: InFlightCounts;
  readonly logger: Logger;
  /** Told after each report that may change how many requests a pool can take. */
  readonly onReport: (poolName: string) => void;
  /**
   * Told of changed worker states and of refused connections.
   *
   * @default nobody
   */
  readonly workerReports?: WorkerReports;
}

interface LoadReport {
  state: 'ready' | 'loading' | 'leaving' | 'failed';
  /** Requests of others in progress or waiting. */
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

/** Workers that get no work now are polled too, because only their report shows that they are back. */
const workersToPoll = (pool: ResolvedPool, membership: MembershipView): WorkerEndpoint[] => {
  const usable = membership.workersOf(pool.name);
  const addresses = new Set(usable.map(({ address }) => address));
  return [...usable, ...pool.workers.filter(({ address }) => !addresses.has(address))];
};

/** Load reports of all workers, read in a jittered loop. Reports lag; the node's own counts fill the gap. */
export class WorkerLoads implements Disposable {
  readonly #options: WorkerLoadsOptions;

  /** By worker address; workers that left the tables are dropped in each round. */
  #reports = new Map<string, LoadReport>();

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: WorkerLoadsOptions) {
    this.#options = options;
  }

  /** Begins to poll. */
  start(): void {
    this.#pollRound();
  }

  /** Whether the worker may get a request, as far as its reports tell. */
  isUsable(address: string): boolean {
    const report = this.#reports.get(address);
    return report === undefined || isUsable(report, this.#options.clock.monotonicMs());
  }

  /** Requests of others in progress or waiting at the worker; undefined: not reported. */
  externalRequestsAt(address: string): number | undefined {
    return this.#reports.get(address)?.externalRequests;
  }

  /** Records that a worker refused a connection. */
  recordRefused(address: string): void {
    const report = this.#reports.get(address) ?? newReport();
    report.refusedUntilMs = this.#options.clock.monotonicMs() + REFUSED_BACKOFF_MS;
    this.#reports.set(address, report);
    this.#options.workerReports?.reportWorkerFailure(address, 'refused');
  }

  /** Reads the load of one worker now. */
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

  /** Polls every worker once, spread over the interval, and then begins the next round. */
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
