import { invariant } from '../../shared/invariants.ts';
import { type IdempotencyKey, isIssuedWith } from './idempotencyKey.ts';
import { ExpiringMap } from './keyExpiry.ts';
import {
  answerSizeBytes,
  KeyRecord,
  type NotRunCode,
  type Settlement,
  type UnknownCode,
  type WorkerAnswer,
} from './keyRecord.ts';
import type { GrantDecision } from './keyWitness.ts';
import { RefusedKeys } from './refusedKeys.ts';

/** What to do with a request that arrived. */
export type Arrival =
  /** New key: ask the witness for a grant, or dispatch at once when the key names no witness. */
  | { readonly next: 'ask-witness' | 'dispatch' }
  /** The key's request is running: wait for its settlement, then call `stopWaiting`. */
  | { readonly next: 'wait' }
  | { readonly next: 'settled'; readonly settlement: Settlement };

export interface KeyHomeOptions {
  /** Incarnation of this node. */
  readonly incarnation: string;
  /** Secret with which this incarnation signs key prefixes. */
  readonly secret: string;
  /** Longest life of a key, in ms. */
  readonly keyTtlMs: number;
  /** Bound on records. At the bound new keys are refused `not-run`. */
  readonly maxRecords: number;
  /** Bound on the bytes of kept answers. At the bound the oldest are dropped, and repeats answered `unknown`. */
  readonly maxKeptBytes: number;
  /** Largest answer that is kept. Larger ones reach those who wait now; later repeats are answered `unknown`. */
  readonly maxAnswerBytes: number;
  /** Repeats of one key that may wait for its running request. Further ones are answered `unknown`. */
  readonly maxWaiting: number;
  /** See `createExpiryTime`. */
  readonly now: () => number;
}

const notRun = (code: NotRunCode): Settlement => ({ outcome: 'not-run', code });

const unknown = (code: UnknownCode): Settlement => ({ outcome: 'unknown', code });

const settled = (settlement: Settlement): Arrival => ({ next: 'settled', settlement });

const GRANT_REFUSALS: Readonly<Record<Exclude<GrantDecision, 'granted'>, NotRunCode>> = {
  sealed: 'witness-refused',
  expired: 'witness-refused',
  'wrong-incarnation': 'witness-refused',
  full: 'witness-full',
};

/** Decides what happens to requests whose keys name this node as their home. The only node that dispatches them. */
export class KeyHome {
  readonly #options: KeyHomeOptions;

  readonly #records: ExpiringMap<KeyRecord>;

  readonly #refused: RefusedKeys;

  /** Records with a stored answer, the oldest first. */
  readonly #kept = new Map<string, KeyRecord>();

  #keptBytes = 0;

  constructor(options: KeyHomeOptions) {
    this.#options = options;
    this.#records = new ExpiringMap(options.maxRecords, (record) => this.#release(record));
    this.#refused = new RefusedKeys(options.keyTtlMs);
  }

  get size(): number {
    return this.#records.size;
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  /**
   * Takes a request in.
   *
   * @param fingerprint - see `fingerprintOf`
   * @param refusal - why this node cannot run the request; a new key is then closed for good, so that a repeat through
   * another entry cannot run after this caller was told `not-run`
   */
  arrive(key: IdempotencyKey, fingerprint: string, refusal?: NotRunCode): Arrival {
    const { incarnation, secret, now } = this.#options;
    if (key.homeIncarnation !== incarnation) return settled(unknown('wrong-home'));
    if (!isIssuedWith(key, secret)) return settled(notRun('key-not-issued'));
    const nowMs = now();
    const record = this.#records.get(key.text);
    if (record) return this.#repeat(record, fingerprint, nowMs);
    if (key.expiresAtMs <= nowMs) return settled(unknown('key-expired'));
    if (this.#refused.has(key.text, nowMs)) {
      // Added again: a false positive would otherwise be forgotten sooner than its key expires.
      this.#refused.add(key.text, nowMs);
      return settled(notRun('key-closed'));
    }
    return this.#create(key, fingerprint, refusal, nowMs);
  }

  /** Ends the wait of a repeat. */
  stopWaiting(key: IdempotencyKey): void {
    const record = this.#records.get(key.text);
    if (record && record.waiting > 0) record.changeWaiting(-1);
  }

  /** Takes the witness's answer in; undefined: none within the timeout. Returns whether the request may go on. */
  grantAnswered(key: IdempotencyKey, decision: GrantDecision | undefined): boolean {
    const record = this.#records.get(key.text);
    if (record?.state !== 'pending') return false;
    if (decision === 'granted') record.moveTo('granted');
    else this.close(key, decision === undefined ? 'witness-silent' : GRANT_REFUSALS[decision]);
    return decision === 'granted';
  }

  /**
   * Whether the request may be handed to the socket now. Called synchronously directly before, because the process may
   * have been paused since the grant.
   *
   * @param mayServe - this node's right to take new work, as of now
   */
  beginDispatch(key: IdempotencyKey, mayServe: boolean): boolean {
    const record = this.#records.get(key.text);
    if (record?.state !== 'granted') return false;
    if (record.expiresAtMs <= this.#options.now()) this.close(key, 'key-expired');
    else if (!mayServe) this.close(key, 'not-serving');
    else record.moveTo('dispatched');
    return this.#records.get(key.text)?.state === 'dispatched';
  }

  /** Takes the worker's whole answer in. */
  answered(key: IdempotencyKey, answer: WorkerAnswer): void {
    const record = this.#records.get(key.text);
    invariant(record !== undefined, 'key-record-present-while-running');
    record.keepAnswer(answer);
    const sizeBytes = answerSizeBytes(answer);
    if (sizeBytes > Math.min(this.#options.maxAnswerBytes, this.#options.maxKeptBytes)) {
      record.becomeUnknown('answer-not-kept');
      return;
    }
    this.#kept.set(record.text, record);
    this.#keptBytes += sizeBytes;
    this.#dropOldestAnswers();
  }

  /** The request may have reached a worker and there is no whole answer. */
  answerLost(key: IdempotencyKey): void {
    const record = this.#records.get(key.text);
    invariant(record !== undefined, 'key-record-present-while-running');
    record.becomeUnknown('answer-lost');
  }

  /** Makes sure that the key never runs. Does nothing once it was dispatched. */
  close(key: IdempotencyKey, code: NotRunCode): void {
    const record = this.#records.get(key.text);
    if (record?.state === 'pending' || record?.state === 'granted') record.close(code);
  }

  /** Closes a key without its request, whose body is not known; `not-run` only when nothing was or will be run. */
  refuse(key: IdempotencyKey, code: NotRunCode): 'not-run' | 'unknown' {
    const arrival = this.arrive(key, '', code);
    if (arrival.next === 'settled' && arrival.settlement.outcome === 'not-run') return 'not-run';
    return 'unknown';
  }

  /** Ends a run that failed inside this process: closed before the dispatch, `unknown` after it. */
  abandon(key: IdempotencyKey): Settlement {
    const record = this.#records.get(key.text);
    if (record?.state === 'dispatched') record.becomeUnknown('answer-lost');
    this.close(key, 'key-closed');
    return this.settlementOf(key) ?? unknown('answer-lost');
  }

  /** What a settled key's callers are told; undefined while it is running or when it is not known. */
  settlementOf(key: IdempotencyKey): Settlement | undefined {
    const record = this.#records.get(key.text);
    return record?.isFinal ? record.settlement() : undefined;
  }

  #repeat(record: KeyRecord, fingerprint: string, nowMs: number): Arrival {
    // A closed key never runs whatever comes with it.
    if (record.state === 'closed') return settled(record.settlement());
    // `unknown` and not `not-run`: a caller whose retry serialises its body anew must not conclude that nothing ran.
    if (record.fingerprint !== fingerprint) return settled(unknown('key-mismatch'));
    if (record.isFinal) {
      const expired = record.expiresAtMs <= nowMs;
      return settled(expired ? unknown('key-expired') : record.settlement());
    }
    if (record.waiting >= this.#options.maxWaiting) return settled(unknown('too-many-repeats'));
    record.changeWaiting(1);
    return { next: 'wait' };
  }

  #create(
    key: IdempotencyKey,
    fingerprint: string,
    refusal: NotRunCode | undefined,
    nowMs: number,
  ): Arrival {
    const record = new KeyRecord(key.text, key.expiresAtMs, fingerprint);
    if (refusal) record.close(refusal);
    if (!this.#records.add(key.text, record, nowMs)) {
      this.#refused.add(key.text, nowMs);
      return settled(notRun('too-many-keys'));
    }
    if (refusal) return settled(notRun(refusal));
    if (key.witnessIncarnation !== undefined) return { next: 'ask-witness' };
    record.moveTo('granted');
    return { next: 'dispatch' };
  }

  #dropOldestAnswers(): void {
    for (const record of this.#kept.values()) {
      if (this.#keptBytes <= this.#options.maxKeptBytes) break;
      this.#uncount(record);
      record.becomeUnknown('answer-not-kept');
    }
    invariant(this.#keptBytes <= this.#options.maxKeptBytes, 'kept-answers-within-bound');
  }

  /** Takes a stored answer out of the count of kept bytes. */
  #uncount(record: KeyRecord): void {
    if (record.answer === undefined) return;
    this.#kept.delete(record.text);
    this.#keptBytes -= answerSizeBytes(record.answer);
  }

  /** Frees an expired record. Running requests keep theirs. */
  #release(record: KeyRecord): boolean {
    if (!record.isFinal) return false;
    this.#uncount(record);
    return true;
  }
}
