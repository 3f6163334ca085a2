import { AnswerCounts } from './answerCounts.ts';

/** What is known of the request limit that one worker names. */
interface LimitRecord {
  /** Requests per second from all nodes together; undefined when the worker names no limit any more. */
  readonly perSecond: number | undefined;
  /** Monotonic time of the answer that showed it, in ms. */
  readonly observedMs: number;
}

/** The limit of one worker as exchanged between nodes. */
export interface LimitReport {
  readonly worker: string;
  /** Undefined when the worker names no limit any more. */
  readonly perSecond: number | undefined;
  /** Time since the answer that showed it, in ms. */
  readonly ageMs: number;
}

export type LimitChange = 'named' | 'changed' | 'lifted';

/** Maximum number of workers with a record: three times the workers of the design size. */
const MAX_RECORDS = 33_000;

/** Time for which the end of a limit is remembered, so that an older report of another node does not restore it, in ms. */
const LIFTED_TTL_MS = 30_000;

/** The request limits that workers name in their answers, each shared by all nodes of the deployment. */
export class RequestLimits {
  readonly #records = new Map<string, LimitRecord>();

  readonly #answers = new AnswerCounts();

  /** Limit of a worker in requests per second; undefined when it names none. */
  of(worker: string): number | undefined {
    return this.#records.get(worker)?.perSecond;
  }

  /** Records what an answer that this node received says. Returns how it changed the limit. */
  recordAnswer(
    worker: string,
    perSecond: number | undefined,
    nowMs: number,
  ): LimitChange | undefined {
    this.#answers.add(worker, nowMs);
    return this.observe(worker, perSecond, nowMs);
  }

  /** Number of answers of a worker that this node received in the last second. */
  answersInLastSecond(worker: string, nowMs: number): number {
    return Math.round(this.#answers.inLastSecond(worker, nowMs));
  }

  /** Records what is known of an answer of a worker. The latest observation counts. Returns how it changed the limit. */
  observe(
    worker: string,
    perSecond: number | undefined,
    observedMs: number,
  ): LimitChange | undefined {
    const known = this.#records.get(worker);
    if (known === undefined ? perSecond === undefined : known.observedMs > observedMs) {
      return undefined;
    }
    if (known === undefined && this.#records.size >= MAX_RECORDS) return undefined;
    this.#records.set(worker, { perSecond, observedMs });
    if (known?.perSecond === perSecond) return undefined;
    if (perSecond === undefined) return 'lifted';
    return known?.perSecond === undefined ? 'named' : 'changed';
  }

  /** Reports about some workers, to be sent to another node. */
  reportsOf(workers: Iterable<string>, nowMs: number): LimitReport[] {
    const reports: LimitReport[] = [];
    for (const worker of workers) {
      const known = this.#records.get(worker);
      if (known !== undefined) {
        const ageMs = Math.max(0, Math.round(nowMs - known.observedMs));
        reports.push({ worker, perSecond: known.perSecond, ageMs });
      }
    }
    return reports;
  }

  /** Removes workers that `isKnown` rejects, and limits that ended long ago. */
  retain(isKnown: (worker: string) => boolean, nowMs: number): void {
    this.#answers.retain(isKnown);
    for (const [worker, { perSecond, observedMs }] of this.#records) {
      const isExpired = perSecond === undefined && nowMs - observedMs > LIFTED_TTL_MS;
      if (isExpired || !isKnown(worker)) this.#records.delete(worker);
    }
  }
}
