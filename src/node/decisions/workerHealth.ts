import { invariant } from '../../shared/invariants.ts';

/** A source that reports whether a worker is leaving. */
export type SignSource = 'vm-list' | 'load-report';

/** Why a connection to a worker failed. `timeout`: the connection was open but no response arrived. */
export type WorkerFailureKind = 'refused' | 'reset' | 'timeout';

export type WorkerState = 'live' | 'leaving' | 'unreachable';

/** The latest report of one source about one worker. */
export interface WorkerObservation {
  readonly address: string;
  readonly source: SignSource;
  readonly leaving: boolean;
  /** Time of the report on this node's monotonic clock, in ms. */
  readonly observedMs: number;
}

interface WorkerRecord {
  readonly observations: Map<SignSource, WorkerObservation>;
  /** Kind of the last failed connection; cleared when the worker responds. */
  failure?: WorkerFailureKind;
  /** When the worker was last selected for a probe. */
  probedMs: number;
}

export interface WorkerHealthOptions {
  /** Maximum number of records. @default 32,768, three times the planned 11,000 workers */
  readonly maxWorkers?: number;
}

/** Time for which a report is sent to other nodes, in ms; by then they have received it from their own sources. */
export const SIGN_GOSSIP_MS = 4000;

/** Time for which a positive report is kept, in ms, so that an older negative report that arrives late is ignored. */
const POSITIVE_TTL_MS = 15_000;

/**
 * Derives worker states from several sources. The latest report of a source stands until the same source reports
 * otherwise, so a lagging VM list never overrules a load report. Failed connections of this node are a further source,
 * cleared only by an answered request or a load report. Workers without any negative report have no record.
 */
export class WorkerHealth {
  readonly #maxWorkers: number;

  readonly #records = new Map<string, WorkerRecord>();

  constructor({ maxWorkers = 32_768 }: WorkerHealthOptions = {}) {
    this.#maxWorkers = maxWorkers;
  }

  get size(): number {
    return this.#records.size;
  }

  /** Merges a report, received from its source or from another node. Returns whether it changed the worker's record. */
  observe(observation: WorkerObservation): boolean {
    const { address, source, leaving, observedMs } = observation;
    const known = this.#records.get(address)?.observations.get(source);
    if (known ? known.observedMs >= observedMs : !leaving) return false;
    const record = this.#getOrCreateRecord(address);
    if (record === undefined) return false;
    // A repeated report keeps the time of the first one, so that it is sent to other nodes for a bounded time.
    if (known?.leaving === leaving) return false;
    record.observations.set(source, observation);
    return true;
  }

  /** Records a load report or an answered request: the worker accepts connections. */
  recordResponse(address: string): void {
    const record = this.#records.get(address);
    if (record === undefined) return;
    record.failure = undefined;
    this.#removeIfDefault(address, record);
  }

  recordConnectionFailure(address: string, kind: WorkerFailureKind): void {
    const record = this.#getOrCreateRecord(address);
    if (record !== undefined) record.failure = kind;
  }

  stateOf(address: string): WorkerState {
    const record = this.#records.get(address);
    if (record === undefined) return 'live';
    if ([...record.observations.values()].some(({ leaving }) => leaving)) return 'leaving';
    return record.failure === undefined ? 'live' : 'unreachable';
  }

  /**
   * Selects workers to probe, the least recently probed first: those whose connections failed, and those that are
   * leaving by their own load report, which only another load report can undo.
   */
  selectForProbing(nowMs: number, maxEntries: number): string[] {
    const candidates = [...this.#records].filter(
      ([, { failure, observations }]) =>
        failure !== undefined || observations.get('load-report')?.leaving,
    );
    const chosen = candidates
      .sort(([, left], [, right]) => left.probedMs - right.probedMs)
      .slice(0, maxEntries);
    for (const [, record] of chosen) record.probedMs = nowMs;
    return chosen.map(([address]) => address);
  }

  /** Reports to send to other nodes, the newest first. */
  signsToSend(nowMs: number, maxEntries: number): WorkerObservation[] {
    return [...this.#records.values()]
      .flatMap((record) => [...record.observations.values()])
      .filter(({ observedMs }) => nowMs - observedMs < SIGN_GOSSIP_MS)
      .sort((left, right) => right.observedMs - left.observedMs)
      .slice(0, maxEntries);
  }

  /** Removes positive reports older than `POSITIVE_TTL_MS`, and workers that `isKnown` rejects. */
  sweep(nowMs: number, isKnown: (address: string) => boolean): void {
    for (const [address, record] of this.#records) {
      for (const [source, { leaving, observedMs }] of record.observations) {
        if (!leaving && nowMs - observedMs > POSITIVE_TTL_MS) record.observations.delete(source);
      }
      if (isKnown(address)) this.#removeIfDefault(address, record);
      else this.#records.delete(address);
    }
  }

  #removeIfDefault(address: string, record: WorkerRecord): void {
    if (record.observations.size === 0 && record.failure === undefined) {
      this.#records.delete(address);
    }
  }

  /** Returns undefined at the limit. The report is then dropped; requests to the worker fail and are retried. */
  #getOrCreateRecord(address: string): WorkerRecord | undefined {
    const known = this.#records.get(address);
    if (known || this.#records.size >= this.#maxWorkers) return known;
    const record: WorkerRecord = { observations: new Map(), probedMs: -Infinity };
    this.#records.set(address, record);
    invariant(this.size <= this.#maxWorkers, 'worker-health-bounded', { size: this.size });
    return record;
  }
}

/** A worker with its state, and whether an operator drained it. */
export interface WorkerChoice<T> {
  readonly worker: T;
  readonly state: WorkerState;
  readonly drained: boolean;
}

/**
 * Returns the workers that may get new work. If none is live, unreachable workers are returned as well: only this
 * node's own connections to them failed, and a fault of its network must not take a whole pool out of service.
 */
export const usableWorkers = <T>(choices: readonly WorkerChoice<T>[]): T[] => {
  const eligible = choices.filter(({ state, drained }) => !drained && state !== 'leaving');
  const live = eligible.filter(({ state }) => state === 'live');
  return (live.length > 0 ? live : eligible).map(({ worker }) => worker);
};
