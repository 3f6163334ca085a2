import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { WakeUp } from '../../shared/wakeUp.ts';
import { type RefreshNeeds, workersToRefresh } from '../decisions/weightRefresh.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { LoadOrder, OrderAnswer, OrderCalls } from './orderCalls.ts';
import { WorkerWeights } from './workerWeights.ts';

/** Expected time of a load before one was measured, in ms. */
const FIRST_LOAD_MS = 950;

/** Time after which a worker that has not answered its order leaves room for another's load, in ms. */
const UNANSWERED_AFTER_MS = 300;

/** Between reports while the result of an order is not known, in ms: reports are up to 200 ms old. */
const REPORT_INTERVAL_MS = 250;

/** Copies of an order, at most. One that arrives late does nothing once another was taken. */
const MAX_ORDERS = 24;

/** Between two copies of an order without an answer, in ms: several round trips within a region. */
const ORDER_INTERVAL_MS = 60;

/** Wait for an answer after the last copy, in ms. */
const LAST_ANSWER_MS = 300;

/** Bounds of the time after a failed load in which the worker gets no other order, in ms. */
const FAILED_PAUSE_MS = 400;
const MAX_FAILED_PAUSE_MS = 1600;

/** Longest wait for the end of a load that a worker reports, in ms. */
const MAX_LOAD_MS = 10_000;

export interface WeightLoadsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: OrderCalls;
  /** Name of this node as holder of the orders. */
  readonly holder: string;
  /** Number of this holder's term. */
  readonly fencing: number;
  /** Confirms at the platform that this node still is the holder; asked directly before each order. */
  readonly verifyHold: () => Promise<boolean>;
  /** Whether orders of a former holder can no longer arrive. */
  readonly mayOrder: () => boolean;
  /** Told when a worker knows a later holder. */
  readonly onFenced: () => void;
  /** Told when a worker may have become usable. */
  readonly onChange: () => void;
  /** Told how each load ended. */
  readonly onLoad: (outcome: LoadOutcome) => void;
}

/** How a load ended. */
export type LoadOutcome = 'loaded' | 'failed' | 'not-holder';

/** What a load is about to do. */
interface Load {
  readonly worker: RegisteredWorker;
  readonly model: string;
  readonly version: number;
  readonly runs: LoadOrder['runs'];
}

/** Knows the weight versions of a pool's workers and brings them to newer ones. */
export class WeightLoads {
  readonly #options: WeightLoadsOptions;

  readonly #workers = new Map<string, WorkerWeights>();

  /** Since when orders of the load in progress are given, by worker. */
  readonly #orderedAt = new Map<string, Stopwatch>();

  /** Loads that failed since the last one that did not, by worker. */
  readonly #failuresInRow = new Map<string, number>();

  #closed = false;

  constructor(options: WeightLoadsOptions) {
    this.#options = options;
  }

  /** Weight version under which a worker takes runs of a model; undefined while it takes none. */
  versionOf(worker: string, model: string): number | undefined {
    const weights = this.#workers.get(worker);
    return weights === undefined || weights.loading === model
      ? undefined
      : weights.versionOf(model);
  }

  isLoading(worker: string): boolean {
    return this.#workers.get(worker)?.loading !== undefined;
  }

  /**
   * Whether a worker takes part in the limit of loads. One that does not answer, or has not answered its order for a
   * while, does not: others are ordered meanwhile.
   */
  countsAsLoading(worker: string): boolean {
    const weights = this.#workers.get(worker);
    const orderedMs = this.#orderedAt.get(worker)?.elapsedMs() ?? Infinity;
    return (weights?.accepted ?? false) || orderedMs < UNANSWERED_AFTER_MS;
  }

  /** Takes in a registration. It lags, so it never lowers a version of the same start. */
  registered(worker: RegisteredWorker): void {
    const { id, startedAtMs, models } = worker;
    const known = this.#workers.get(id);
    if (known === undefined || known.startedAtMs !== startedAtMs) {
      this.#workers.set(id, new WorkerWeights(worker));
      return;
    }
    known.registered(models);
  }

  /** Takes in the version under which a run began; that is the worker's own word. */
  observed(worker: string, model: string, version: number): void {
    const weights = this.#workers.get(worker);
    const expected = weights?.versionOf(model);
    if (weights === undefined || expected === version) return;
    weights.observe(model, version);
    this.#options.logger.info('weights-observed', { worker, model, version, expected });
  }

  /** Gives the orders that are due for one model. */
  refresh(
    workers: readonly RegisteredWorker[],
    model: string,
    needs: RefreshNeeds & { readonly singleVersion: boolean },
    runningOf: (worker: string) => number,
  ): void {
    if (this.#closed || !this.#options.mayOrder()) return;
    const chosen = workersToRefresh(
      workers.map(({ id }) => ({
        id,
        version: this.#workers.get(id)?.versionOf(model),
        busy: this.isLoading(id),
        loading: this.countsAsLoading(id),
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

  /** Forgets workers that are no longer registered. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const id of this.#workers.keys()) if (!isKnown(id)) this.#workers.delete(id);
    for (const id of this.#failuresInRow.keys()) if (!isKnown(id)) this.#failuresInRow.delete(id);
  }

  /** Ends all orders. */
  close(): void {
    this.#closed = true;
  }

  async #load(load: Load): Promise<void> {
    const { worker, model, version } = load;
    const weights = this.#workers.get(worker.id);
    if (weights === undefined) return;
    const from = weights.versionOf(model);
    weights.beginLoad(model);
    // A worker that failed lately takes part in the limit only once it has answered a report.
    if (!this.#failuresInRow.has(worker.id)) {
      this.#orderedAt.set(worker.id, new Stopwatch(this.#options.clock));
    }
    const started = new Stopwatch(this.#options.clock);
    const outcome = await this.#order(load, weights);
    this.#options.logger.info('weights-load', {
      worker: worker.id,
      model,
      version,
      from,
      outcome,
      tookMs: Math.round(started.elapsedMs()),
    });
    this.#options.onLoad(outcome);
    this.#orderedAt.delete(worker.id);
    if (outcome === 'loaded') weights.observe(model, version);
    await sleep(this.#options.clock, this.#pauseMs(worker.id, outcome));
    weights.endLoad();
    if (!this.#closed) this.#options.onChange();
  }

  /** Time after a load in which the worker gets no other order, in ms; it doubles with each failure in a row. */
  #pauseMs(worker: string, outcome: LoadOutcome): number {
    if (outcome === 'loaded') {
      this.#failuresInRow.delete(worker);
      return 0;
    }
    const failures = this.#failuresInRow.get(worker) ?? 0;
    this.#failuresInRow.set(worker, failures + 1);
    return Math.min(MAX_FAILED_PAUSE_MS, FAILED_PAUSE_MS * 2 ** failures);
  }

  /** Gives copies of the order until one is answered: workers may leave most of them without an answer. */
  async #order(load: Load, weights: WorkerWeights): Promise<LoadOutcome> {
    const { clock, calls, holder, fencing, verifyHold, onFenced } = this.#options;
    const { worker, model, version, runs } = load;
    if (weights.orders === undefined && !(await this.#readReport(worker, weights))) return 'failed';
    const answered = new WakeUp(clock);
    let answer: OrderAnswer | undefined;
    const take = (result: OrderAnswer): void => {
      if (result === 'unknown') return;
      answer ??= result;
      answered.notify();
    };
    this.#orderedAt.set(worker.id, new Stopwatch(clock));
    for (let copy = 1; copy <= MAX_ORDERS && !this.#closed; copy += 1) {
      if (!(await verifyHold()) || this.#closed) return 'not-holder';
      const expectedOrders = weights.orders ?? 0;
      const order = { model, version, runs, holder, fencing, expectedOrders };
      void calls.order(worker, order).then(take);
      await answered.wait(copy < MAX_ORDERS ? ORDER_INTERVAL_MS : LAST_ANSWER_MS);
      if (answer === 'holds') return 'loaded';
      if (answer === 'accepted') {
        weights.countedOrders(expectedOrders + 1);
        weights.acceptLoad();
        await sleep(clock, FIRST_LOAD_MS);
        return 'loaded';
      }
      if (answer === 'fenced') {
        onFenced();
        return 'not-holder';
      }
      if (answer === 'refused') return 'failed';
      if (answer === 'conflict' && (await this.#hasEffect(load, weights))) return 'loaded';
      answer = undefined;
    }
    return 'failed';
  }

  /** Finds out by the worker's reports whether an order that met another one, or a copy of it, took effect. */
  async #hasEffect({ worker, model, version }: Load, weights: WorkerWeights): Promise<boolean> {
    const { clock } = this.#options;
    const started = new Stopwatch(clock);
    do {
      await sleep(clock, REPORT_INTERVAL_MS);
      const report = await this.#readReport(worker, weights);
      if ((report?.versions.get(model) ?? 0) >= version) return true;
      if (report === undefined || !report.busy) return false;
    } while (!this.#closed && started.elapsedMs() < MAX_LOAD_MS);
    return false;
  }

  async #readReport(worker: RegisteredWorker, weights: WorkerWeights) {
    const report = await this.#options.calls.report(worker);
    if (report !== undefined) weights.countedOrders(report.orders);
    return report;
  }
}
