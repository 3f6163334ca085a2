import { invariant } from '../../shared/invariants.ts';

/** A source that says whether a worker is leaving. */
export type SignSource = 'vm-list' | 'load-report';

/** Why a connection to a worker failed. `timeout`: it was open but carried no answer. */
export type WorkerFailureKind = 'refused' | 'reset' | 'timeout';

export type WorkerState = 'live' | 'leaving' | 'unreachable';

/** The latest word of one source on one worker. */
export interface WorkerObservation {
  readonly address: string;
  readonly source: SignSource;
  readonly leaving: boolean;
  /** Monotonic time of this node at which the source said so, in ms. */
  readonly observedMs: number;
}

interface WorkerRecord {
  readonly observations: Map<SignSource, WorkerObservation>;
  /** Kind of the last failed connection; undefined after an answer. */
  failure?: WorkerFailureKind;
  /** When the worker was last chosen for a trial. */
  probedMs: number;
}

export interface WorkerHealthOptions {
  /** @default 32,768, three times the planned 11,000 workers */
  readonly maxWorkers?: number;
}

/** A sign is passed to other nodes for this long; afterwards their own sources have shown it. */
export const SIGN_SPREAD_MS = 4000;

/** How long a positive word stands against older negative word that arrives late. */
const POSITIVE_MEMORY_MS = 15_000;

/**
 * Worker state from several signs. Each source's latest word stands until the same source says otherwise, so a VM list
 * that lags behind never overrules a load report. Failed connections are this node's own sign, undone only by an
 * answer or a load report. Workers without any negative sign have no record.
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

  /** Takes in the word of a source, seen by this node or passed on by another. Returns whether it changed anything. */
  observe(observation: WorkerObservation): boolean {
    const { address, source, leaving, observedMs } = observation;
    const known = this.#records.get(address)?.observations.get(source);
    if (known ? known.observedMs >= observedMs : !leaving) return false;
    const record = this.#record(address);
    if (record === undefined) return false;
    // The time of the first word stays, so that a sign is passed on for a bounded time.
    if (known?.leaving === leaving) return false;
    record.observations.set(source, observation);
    return true;
  }

  /** A load report or an answered request: the worker takes connections. */
  answered(address: string): void {
    const record = this.#records.get(address);
    if (record === undefined) return;
    record.failure = undefined;
    this.#forgetIfPlain(address, record);
  }

  connectionFailed(address: string, kind: WorkerFailureKind): void {
    const record = this.#record(address);
    if (record !== undefined) record.failure = kind;
  }

  stateOf(address: string): WorkerState {
    const record = this.#records.get(address);
    if (record === undefined) return 'live';
    if ([...record.observations.values()].some(({ leaving }) => leaving)) return 'leaving';
    return record.failure === undefined ? 'live' : 'unreachable';
  }

  /**
   * Workers to ask for their state, the longest not asked first: those whose connections failed, and those that only a
   * load report can bring back.
   */
  toProbe(nowMs: number, maxEntries: number): string[] {
    const waiting = [...this.#records].filter(
      ([, { failure, observations }]) =>
        failure !== undefined || observations.get('load-report')?.leaving,
    );
    const chosen = waiting
      .sort(([, left], [, right]) => left.probedMs - right.probedMs)
      .slice(0, maxEntries);
    for (const [, record] of chosen) record.probedMs = nowMs;
    return chosen.map(([address]) => address);
  }

  /** Words to pass to other nodes, the newest first. */
  signsToSend(nowMs: number, maxEntries: number): WorkerObservation[] {
    return [...this.#records.values()]
      .flatMap((record) => [...record.observations.values()])
      .filter(({ observedMs }) => nowMs - observedMs < SIGN_SPREAD_MS)
      .sort((left, right) => right.observedMs - left.observedMs)
      .slice(0, maxEntries);
  }

  /** Drops what no longer matters: old positive words, and workers that no source names any more. */
  sweep(nowMs: number, isKnown: (address: string) => boolean): void {
    for (const [address, record] of this.#records) {
      for (const [source, { leaving, observedMs }] of record.observations) {
        if (!leaving && nowMs - observedMs > POSITIVE_MEMORY_MS) record.observations.delete(source);
      }
      if (isKnown(address)) this.#forgetIfPlain(address, record);
      else this.#records.delete(address);
    }
  }

  #forgetIfPlain(address: string, record: WorkerRecord): void {
    if (record.observations.size === 0 && record.failure === undefined) {
      this.#records.delete(address);
    }
  }

  /** At the bound further signs are dropped: requests to such a worker fail and are tried elsewhere. */
  #record(address: string): WorkerRecord | undefined {
    const known = this.#records.get(address);
    if (known || this.#records.size >= this.#maxWorkers) return known;
    const record: WorkerRecord = { observations: new Map(), probedMs: -Infinity };
    this.#records.set(address, record);
    invariant(this.size <= this.#maxWorkers, 'worker-health-bounded', { size: this.size });
    return record;
  }
}

/** A worker with its state and whether an operator drained it. */
export interface WorkerChoice<T> {
  readonly worker: T;
  readonly state: WorkerState;
  readonly drained: boolean;
}

/**
 * Workers that may get new work. When none is live, those that only this node's own failed connections speak against
 * are offered all the same, so that a fault of this node's network does not take a whole pool out.
 */
export const usableWorkers = <T>(choices: readonly WorkerChoice<T>[]): T[] => {
  const staying = choices.filter(({ state, drained }) => !drained && state !== 'leaving');
  const live = staying.filter(({ state }) => state === 'live');
  return (live.length > 0 ? live : staying).map(({ worker }) => worker);
};
