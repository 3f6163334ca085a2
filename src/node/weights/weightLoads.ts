import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { Notifier } from '../../shared/notifier.ts';
import { type RefreshRequirements, workersToRefresh } from '../decisions/weightRefresh.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { LoadOrder, OrderResponse, OrderCalls } from './orderCalls.ts';
import { WorkerWeights } from './workerWeights.ts';

/** Expected duration of a load, in ms. An accepted load is taken as complete after this time. */
const EXPECTED_LOAD_MS = 950;

/** Time after an accepted load for which a worker that rejects runs may still be loading, in ms. */
const MAX_OVERDUE_MS = 3000;

/** Time for which a worker whose load is overdue counts as loading after it has rejected a run, in ms: several retries. */
const OVERDUE_MS = 200;

/** Time after which a worker with an unanswered order no longer counts towards the limit of concurrent loads, in ms. */
const UNANSWERED_ORDER_LIMIT_MS = 300;

/** Interval between reports while the result of an order is unknown, in ms. Reports are up to 200 ms old. */
const REPORT_INTERVAL_MS = 250;

/** Maximum number of copies of an order. A late copy has no effect once the worker has accepted another order. */
const MAX_ORDER_COPIES = 24;

/** Interval between two copies of an unanswered order, in ms: several round trips within a region. */
const ORDER_COPY_INTERVAL_MS = 60;

/** Time to wait for a response after the last copy, in ms. */
const LAST_COPY_TIMEOUT_MS = 300;

/**
 * Number of reports without a response after which an order with a conflict counts as failed. Each takes up to 0.8 s, in
 * which the worker gets no runs, although it may have carried out the order.
 */
const MAX_UNANSWERED_REPORTS = 3;

/** First and maximum time after a failed load during which the worker gets no other order, in ms. It may get runs. */
const FIRST_BACKOFF_MS = 400;
const MAX_BACKOFF_MS = 1600;

/** Maximum time to wait for the end of a load that the worker reports as in progress, in ms. */
const MAX_LOAD_WAIT_MS = 10_000;

export interface WeightLoadsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: OrderCalls;
  /** Name of this node, sent with each order. */
  readonly holder: string;
  /** Fencing token of this node's term as holder. */
  readonly fencing: number;
  /** Verifies with the platform that this node still is the holder; called directly before each order. */
  readonly verifyHolder: () => Promise<boolean>;
  /** Whether orders may be sent, because those of a previous holder can no longer arrive. */
  readonly maySendOrders: () => boolean;
  /** Called when a worker has received orders from a later holder. */
  readonly onFenced: () => void;
  /** Called when a worker may have become usable. */
  readonly onChange: () => void;
  /** Called with the outcome of each load. */
  readonly onLoad: (outcome: LoadOutcome) => void;
}

export type LoadOutcome = 'loaded' | 'failed' | 'not-holder';

/** Target of one load and the treatment of the model's runs. */
interface Load {
  readonly worker: RegisteredWorker;
  readonly model: string;
  readonly version: number;
  readonly runs: LoadOrder['runs'];
}

/** Tracks the weight versions of a pool's workers and orders them to load newer ones. */
export class WeightLoads {
  readonly #options: WeightLoadsOptions;

  readonly #workers = new Map<string, WorkerWeights>();

  /** Time since the load in progress was decided and, once orders are sent, since the first order, by worker. */
  readonly #sinceOrdered = new Map<string, Stopwatch>();

  /** Worker processes that get no order for a while, because a load failed. */
  readonly #backingOff = new WeakSet<WorkerWeights>();

  /** Number of consecutive failed loads, by worker. */
  readonly #failureCounts = new Map<string, number>();

  /** Started when a load was taken as complete, by worker. */
  readonly #sinceLoaded = new Map<string, Stopwatch>();

  /** Started when a worker rejected a run soon after its load was taken as complete, by worker. */
  readonly #sinceOverdue = new Map<string, Stopwatch>();

  #closed = false;

  constructor(options: WeightLoadsOptions) {
    this.#options = options;
  }

  /** Weight version under which a worker accepts runs of a model; undefined while it accepts none. */
  versionOf(worker: string, model: string): number | undefined {
    const weights = this.#workers.get(worker);
    return weights === undefined || weights.loadingModel === model
      ? undefined
      : weights.versionOf(model);
  }

  isLoading(worker: string): boolean {
    return this.#workers.get(worker)?.loadingModel !== undefined;
  }

  /**
   * Whether a worker counts towards the limit of concurrent loads. A worker that leaves its order unanswered for longer
   * than `UNANSWERED_ORDER_LIMIT_MS` does not, so that others are ordered in the meantime.
   */
  usesLoadSlot(worker: string): boolean {
    const weights = this.#workers.get(worker);
    const sinceOrderedMs = this.#sinceOrdered.get(worker)?.elapsedMs() ?? Infinity;
    const sinceOverdueMs = this.#sinceOverdue.get(worker)?.elapsedMs() ?? Infinity;
    return (
      (weights?.isAccepted ?? false) ||
      sinceOrderedMs < UNANSWERED_ORDER_LIMIT_MS ||
      sinceOverdueMs < OVERDUE_MS
    );
  }

  /**
   * Records that a worker rejected a run. If its load was taken as complete not long ago, it may still be loading, because
   * more workers than usual load, and then counts towards the limit of concurrent loads.
   */
  recordRejection(worker: string): void {
    const sinceLoadedMs = this.#sinceLoaded.get(worker)?.elapsedMs() ?? Infinity;
    if (sinceLoadedMs >= MAX_OVERDUE_MS) return;
    this.#sinceOverdue.set(worker, new Stopwatch(this.#options.clock));
  }

  /** Merges a registration. Registrations lag, so they never lower a version of the same worker process. */
  register(worker: RegisteredWorker): void {
    const { id, startedAtMs, models } = worker;
    const known = this.#workers.get(id);
    if (known === undefined || known.startedAtMs !== startedAtMs) {
      this.#workers.set(id, new WorkerWeights(worker));
      return;
    }
    known.mergeRegistration(models);
  }

  /** Records the version under which a run started, as reported by the worker itself. */
  recordVersion(worker: string, model: string, version: number): void {
    const weights = this.#workers.get(worker);
    const expected = weights?.versionOf(model);
    if (weights === undefined || expected === version) return;
    weights.observe(model, version);
    this.#options.logger.info('weights-observed', { worker, model, version, expected });
  }

  /** Sends the load orders that are due for one model. */
  refresh(
    workers: readonly RegisteredWorker[],
    model: string,
    needs: RefreshRequirements & { readonly singleVersion: boolean },
    runningOf: (worker: string) => number,
  ): void {
    if (this.#closed || !this.#options.maySendOrders()) return;
    const chosen = workersToRefresh(
      workers.map(({ id }) => ({
        id,
        version: this.#workers.get(id)?.versionOf(model),
        busy: this.#isBusy(id),
        loading: this.usesLoadSlot(id),
        running: runningOf(id),
      })),
      needs,
    );
    for (const id of chosen) {
      const worker = workers.find((candidate) => candidate.id === id);
      if (worker !== undefined) {
        const runs = needs.singleVersion ? 'finish' : 'continue';
        void this.#load({ worker, model, version: needs.newestVersion, runs });
      }
    }
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const byWorker of [
      this.#workers,
      this.#failureCounts,
      this.#sinceLoaded,
      this.#sinceOverdue,
    ]) {
      for (const id of byWorker.keys()) if (!isKnown(id)) byWorker.delete(id);
    }
  }

  /** Stops sending orders. */
  close(): void {
    this.#closed = true;
  }

  async #load(load: Load): Promise<void> {
    const { worker, model, version } = load;
    const weights = this.#workers.get(worker.id);
    if (weights === undefined) return;
    const from = weights.versionOf(model);
    weights.beginLoad(model);
    // After a failed load, a worker counts towards the limit only once it has returned a report.
    if (!this.#failureCounts.has(worker.id)) {
      this.#sinceOrdered.set(worker.id, new Stopwatch(this.#options.clock));
    }
    const started = new Stopwatch(this.#options.clock);
    const outcome = await this.#sendOrder(load, weights);
    this.#options.logger.info('weights-load', {
      worker: worker.id,
      model,
      version,
      from,
      outcome,
      tookMs: Math.round(started.elapsedMs()),
    });
    this.#options.onLoad(outcome);
    this.#sinceOrdered.delete(worker.id);
    if (outcome === 'loaded') {
      weights.observe(model, version);
      this.#sinceLoaded.set(worker.id, new Stopwatch(this.#options.clock));
    }
    weights.endLoad();
    const backOff = this.#backOff(worker.id, weights, outcome);
    if (!this.#closed) this.#options.onChange();
    await backOff;
  }

  /** Whether a worker may not be sent an order now. */
  #isBusy(worker: string): boolean {
    const weights = this.#workers.get(worker);
    return (
      weights !== undefined && (weights.loadingModel !== undefined || this.#backingOff.has(weights))
    );
  }

  /** Gives a worker no order for a while if a load failed. */
  async #backOff(worker: string, weights: WorkerWeights, outcome: LoadOutcome): Promise<void> {
    const backoffMs = this.#backoffMs(worker, outcome);
    if (backoffMs === 0) return;
    this.#backingOff.add(weights);
    await sleep(this.#options.clock, backoffMs);
    this.#backingOff.delete(weights);
    if (!this.#closed) this.#options.onChange();
  }

  /** Time after a load during which the worker gets no other order, in ms. Doubles with each consecutive failure. */
  #backoffMs(worker: string, outcome: LoadOutcome): number {
    if (outcome === 'loaded') {
      this.#failureCounts.delete(worker);
      return 0;
    }
    const failures = this.#failureCounts.get(worker) ?? 0;
    this.#failureCounts.set(worker, failures + 1);
    return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failures);
  }

  /** Sends copies of the order until one gets a response, because workers may leave most of them unanswered. */
  async #sendOrder(load: Load, weights: WorkerWeights): Promise<LoadOutcome> {
    const { clock, calls, holder, fencing, verifyHolder, onFenced } = this.#options;
    const { worker, model, version, runs } = load;
    if (weights.orders === undefined && !(await this.#readReport(worker, weights))) return 'failed';
    const notifier = new Notifier(clock);
    let response: OrderResponse | undefined;
    const onResponse = (result: OrderResponse): void => {
      if (result === 'unknown') return;
      response ??= result;
      notifier.notify();
    };
    this.#sinceOrdered.set(worker.id, new Stopwatch(clock));
    let unansweredReports = 0;
    for (let copy = 1; copy <= MAX_ORDER_COPIES && !this.#closed; copy += 1) {
      if (!(await verifyHolder()) || this.#closed) return 'not-holder';
      const expectedOrders = weights.orders ?? 0;
      const order = { model, version, runs, holder, fencing, expectedOrders };
      void calls.order(worker, order).then(onResponse);
      await notifier.wait(copy < MAX_ORDER_COPIES ? ORDER_COPY_INTERVAL_MS : LAST_COPY_TIMEOUT_MS);
      if (response === 'holds') return 'loaded';
      if (response === 'accepted') {
        weights.setOrderCount(expectedOrders + 1);
        weights.acceptLoad();
        await sleep(clock, EXPECTED_LOAD_MS);
        return 'loaded';
      }
      if (response === 'fenced') {
        onFenced();
        return 'not-holder';
      }
      if (response === 'refused') return 'failed';
      if (response === 'conflict') {
        const tookEffect = await this.#tookEffect(load, weights);
        if (tookEffect) return 'loaded';
        if (tookEffect === undefined) unansweredReports += 1;
        if (unansweredReports >= MAX_UNANSWERED_REPORTS) return 'failed';
      }
      response = undefined;
    }
    return 'failed';
  }

  /**
   * Determines from the worker's reports whether an order took effect although the worker returned `conflict`.
   *
   * @returns undefined if a report got no response
   */
  async #tookEffect(
    { worker, model, version }: Load,
    weights: WorkerWeights,
  ): Promise<boolean | undefined> {
    const { clock } = this.#options;
    const started = new Stopwatch(clock);
    do {
      await sleep(clock, REPORT_INTERVAL_MS);
      const report = await this.#readReport(worker, weights);
      if (report === undefined) return undefined;
      if ((report.versions.get(model) ?? 0) >= version) return true;
      if (!report.busy) return false;
    } while (!this.#closed && started.elapsedMs() < MAX_LOAD_WAIT_MS);
    return false;
  }

  async #readReport(worker: RegisteredWorker, weights: WorkerWeights) {
    const report = await this.#options.calls.report(worker);
    if (report !== undefined) weights.setOrderCount(report.orders);
    return report;
  }
}
