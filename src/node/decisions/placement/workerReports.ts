/** Load of a worker as it reports it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the worker's VM at the moment, in percent of the usual time. @default 100 */
  readonly pacePercent?: number;
}

/** The last report of a worker. */
export interface WorkerReport {
  /** Requests of other nodes, running and waiting. */
  readonly others: number;
  readonly slots: number;
  /** Time that work takes relative to the usual; undefined where the worker does not say. */
  readonly pace: number | undefined;
  readonly ageMs: number;
}

/** Maximum age at which a worker's load report is still used, in ms. */
const REPORT_MAX_AGE_MS = 500;

interface Received extends Omit<WorkerReport, 'ageMs'> {
  readonly atMs: number;
}

/** The last load report of each worker that this node received. */
export class WorkerReports {
  readonly #reports = new Map<string, Received>();

  /** @param ownInFlight - this node's own requests on the worker, including the one whose answer carries the report */
  record(worker: string, load: ReportedLoad, ownInFlight: number, nowMs: number): void {
    this.#reports.set(worker, {
      others: Math.max(0, load.running + load.waiting - ownInFlight),
      slots: load.slots,
      pace: load.pacePercent === undefined ? undefined : load.pacePercent / 100,
      atMs: nowMs,
    });
  }

  /** Whether the worker has ever reported its load. */
  has(worker: string): boolean {
    return this.#reports.has(worker);
  }

  /** The last report of the worker; undefined when there is none or it is too old to be used. */
  of(worker: string, nowMs: number): WorkerReport | undefined {
    const report = this.#reports.get(worker);
    if (report === undefined || nowMs - report.atMs >= REPORT_MAX_AGE_MS) return undefined;
    const { atMs, ...rest } = report;
    return { ...rest, ageMs: nowMs - atMs };
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#reports.keys()) {
      if (!isKnown(worker)) this.#reports.delete(worker);
    }
  }
}
