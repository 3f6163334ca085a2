import type { MessageInitShape } from '@bufbuild/protobuf';
import { create } from '@bufbuild/protobuf';
import {
  type BatchDemand,
  type ReportDemandRequest,
  ReportDemandRequestSchema,
} from '../../gen/hyssoppulley/v1/demand_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { BatchWork } from '../decisions/workerOrders/poolDemand.ts';

/** A report older than this is not used, in ms: three reports in a row did not arrive. */
const MAX_REPORT_AGE_MS = 3500;

/** Maximum number of pools whose reports are kept; the one reported longest ago is dropped. */
const MAX_POOLS = 256;

/** Time per event until the dispatcher has measured it, in ms: that of the slower workers in use. */
const DEFAULT_EVENT_GAP_MS = 60;

/** Events that take as long as reading the prompt of an item. */
const PROMPT_EVENTS = 2;

/** Demand of a pool at the time of a look-up. */
export interface ReportedDemand {
  readonly slotsPerWorker: number;
  readonly batches: readonly BatchWork[];
  /** Time since the report arrived, in ms. */
  readonly ageMs: number;
}

interface Report {
  readonly request: ReportDemandRequest;
  readonly received: Stopwatch;
}

const toBatchWork = (
  { batchId, model, waitingItems, runningItems, tokensLeft, dueInMs }: BatchDemand,
  { eventGapMs, tokensPerEvent }: ReportDemandRequest,
  ageMs: number,
): BatchWork => {
  const events = tokensLeft / Math.max(1, tokensPerEvent) + waitingItems * PROMPT_EVENTS;
  return {
    ...{ batchId, model, waitingItems, runningItems, dueInMs: dueInMs - ageMs },
    workMs: events * (eventGapMs || DEFAULT_EVENT_GAP_MS),
  };
};

/** Latest demand that the dispatchers of pools have reported to this node. */
export class DemandReports {
  readonly #clock: Clock;

  readonly #reports = new Map<string, Report>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a report, unless a later dispatcher of the pool has reported already. */
  receive(message: MessageInitShape<typeof ReportDemandRequestSchema>): void {
    const request = create(ReportDemandRequestSchema, message);
    const { pool, term } = request;
    const known = this.#reports.get(pool);
    if (known !== undefined && known.request.term > term) return;
    this.#reports.delete(pool);
    this.#reports.set(pool, { request, received: new Stopwatch(this.#clock) });
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > MAX_POOLS && oldest !== undefined) this.#reports.delete(oldest);
  }

  /** Demand of a pool; undefined if there is no recent report. */
  find(pool: string): ReportedDemand | undefined {
    const report = this.#reports.get(pool);
    const ageMs = report?.received.elapsedMs() ?? Infinity;
    if (report === undefined || ageMs > MAX_REPORT_AGE_MS) return undefined;
    const { request } = report;
    return {
      ...{ slotsPerWorker: Math.max(1, request.slotsPerWorker), ageMs },
      batches: request.batches.map((batch) => toBatchWork(batch, request, ageMs)),
    };
  }
}
